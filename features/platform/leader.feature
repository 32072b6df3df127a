Feature: What reaches a leader late, or before it knows of it

  Scenario: A leader is told of a job while it restores the book
    # A task that was done runs again. An entry stores a job and tells the leader; the
    # leader before has run a task of it and stored that. The message reaches the next
    # one while it waits for the store's lists: it took the job for a new one, and what
    # was stored of its progress was passed over, and then overwritten.
    Given a job whose first task has succeeded, as an earlier leader stored it
    When a leader is told of the job while it waits for the lists of the store
    And the agents report
    Then the task that has succeeded does not run again

  Scenario: A report that was held up on an earlier connection
    # A task runs twice at a time. A report gets no answer; its agent opens another
    # connection, reports there and starts what it is told. Then the first report
    # arrives: it shows none of that, and all of it was started elsewhere.
    Given a leader, and a job that is stored
    When a report is held up, and its agent reports and starts the task on another connection
    And the report that was held up arrives
    And the agents report
    Then the task was started once

  Scenario: A report that an earlier life of the agent made
    # The same, and the agent was killed and has come back meanwhile: what its earlier
    # life reported says nothing any more, and shuts nobody out.
    Given a leader, and a job that is stored
    When an agent's report is held up, and its next life starts the task
    And the report that was held up arrives
    And the agents report
    Then the task was started once
    When its run ends
    And the agents report
    Then its end is acknowledged

  Scenario: An end of a job that the leader does not know yet
    # A task that was done runs again. Two leaders act at the same time for a moment: the
    # earlier one starts a job that was stored after the later one had listed the jobs.
    # Its end is listed to the later one before its watch tells it of the job; the end
    # was acknowledged and forgotten.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it ends well
    And the agents report
    And the watch tells of the job
    And the agents report
    Then the task that has succeeded does not run again
    And its end is acknowledged

  Scenario: A run of a job that the leader does not know yet
    # A task runs twice at a time. As before, but the run goes on: it was stopped, and
    # while it stopped, the watch told of the job and it was started elsewhere.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it goes on
    And the agents report
    And the watch tells of the job
    And the agents report
    Then just that run goes on

  Scenario: An end of a job that is not kept any more
    # The job was forgotten long ago, and its end is listed once more: the store has no
    # such job, so that the end says nothing, and must not hold up the others for ever.
    Given a leader whose watch on the jobs is late
    When a run of a job that was forgotten ends well
    And the agents report
    Then its end is acknowledged

  Scenario: An agent is struck from the store late
    # A task runs twice at a time after a change of leader. The write that strikes an
    # agent gets no answer; the agent is back and named again, and is given work. Then
    # the write is carried out: the next leader did not wait for the agent.
    Given a leader whose store carries out deletes late, without an answer
    When an agent is out of touch until it is struck, and is then back in touch
    And the late delete is carried out
    Then the store names each agent that may be given work

  Scenario: An agent that is gone is struck although the store did not answer at first
    # After a change of leader all work waits for an agent that is gone: the write that
    # strikes it was not answered, and not tried again.
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
