Feature: What reaches a leader late, or before it knows of it

  Scenario: A leader is told of a job while it restores the book
    # Guards against a finished task that runs again when its job comes in a restore.
    Given a job whose first task has succeeded, as an earlier leader stored it
    When a leader is told of the job while it waits for the lists of the store
    And the agents report
    Then the task that has succeeded does not run again

  Scenario: A report that was held up on an earlier connection
    # Guards against duplicate runs when a delayed report arrives after a newer one.
    Given a leader, and a job that is stored
    When a report is held up, and its agent reports and starts the task on another connection
    And the report that was held up arrives
    And the agents report
    Then the task was started once

  Scenario: A report that an earlier life of the agent made
    # Guards against duplicate runs when a past incarnation's report arrives late.
    Given a leader, and a job that is stored
    When an agent's report is held up, and its next life starts the task
    And the report that was held up arrives
    And the agents report
    Then the task was started once
    When its run ends
    And the agents report
    Then its end is acknowledged

  Scenario: An end of a job that the leader does not know yet
    # Guards against a finished task that runs again when its job is not known yet.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it ends well
    And the agents report
    And the watch tells of the job
    And the agents report
    Then the task that has succeeded does not run again
    And its end is acknowledged

  Scenario: A run of a job that the leader does not know yet
    # Guards against duplicate runs when a run is reported before its job is known.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it goes on
    And the agents report
    And the watch tells of the job
    And the agents report
    Then just that run goes on

  Scenario: An end of a job that is not kept any more
    # Guards against an end that is never acknowledged because its job was deleted.
    Given a leader whose watch on the jobs is late
    When a run of a job that was forgotten ends well
    And the agents report
    Then its end is acknowledged

  Scenario: An agent is struck from the store late
    # Guards against duplicate runs after a late delete deregisters an agent in use.
    Given a leader whose store carries out deletes late, without an answer
    When an agent is out of touch until it is struck, and is then back in touch
    And the late delete is carried out
    Then the store names each agent that may be given work

  Scenario: An agent that is gone is struck although the store did not answer at first
    # Guards against starts that stall because an agent's deregistration got no answer.
    Given a leader whose store carries out deletes late, without an answer
    When an agent is out of touch until it is to be struck
    And the store answers again
    Then the store does not name the agent any more

  Scenario: A new leader knows what the one before has learnt of images
    # Guards against seconds of harm and idle room after each change of leader.
    Given a leader that has learnt which images interfere
    When the next leader begins
    Then it knows the same images

  Scenario: What an earlier version stored of images cannot be read
    # Guards against a leader that fails on a value which is only advice.
    Given a store whose learnt images are unreadable
    When the next leader begins
    Then it leads, and knows nothing of images
