Feature: Messages that reach a leader late, or before it knows their job

  Scenario: A leader is notified of a job while it restores the stored jobs
    # Guards against a finished task that runs again: its job is added without its record.
    Given a job whose first task has succeeded, as an earlier leader stored it
    When a leader is notified of the job while it waits for the lists of the store
    And the agents report
    Then the task that has succeeded does not run again

  Scenario: A report that was delayed on an earlier connection
    # Guards against duplicate runs when a delayed report arrives after a newer one.
    Given a leader, and a job that is stored
    When a report is delayed, and its agent reports and starts the task on another connection
    And the delayed report arrives
    And the agents report
    Then the task was started once

  Scenario: A report of an earlier incarnation of the agent
    # Guards against duplicate runs when an earlier incarnation's report arrives late.
    Given a leader, and a job that is stored
    When an agent's report is delayed, and its next incarnation starts the task
    And the delayed report arrives
    And the agents report
    Then the task was started once
    When its run ends
    And the agents report
    Then its end is acknowledged

  Scenario: The first report of an earlier incarnation of the agent
    # Guards against duplicate runs when the only report of an incarnation arrives last.
    Given a leader, and a job that is stored
    When an agent was told to follow, and its report is delayed beyond those of its next incarnation
    And the delayed report arrives
    And the agents report
    Then the task was started once

  Scenario: The end of a run whose job the leader does not know yet
    # Guards against a finished task that runs again when its job is not known yet.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it succeeds
    And the agents report
    And the watch delivers the job
    And the agents report
    Then the task that has succeeded does not run again
    And its end is acknowledged

  Scenario: A run whose job the leader does not know yet
    # Guards against duplicate runs when a run is reported before its job is known.
    Given a leader whose watch on the jobs is late
    When a job is stored, and an earlier leader's run of it continues
    And the agents report
    And the watch delivers the job
    And the agents report
    Then only that run continues

  Scenario: The end of a run whose job has been deleted
    # Guards against an end that is never acknowledged because its job was deleted.
    Given a leader whose watch on the jobs is late
    When a run of a deleted job succeeds
    And the agents report
    Then its end is acknowledged

  Scenario: An agent is deregistered late
    # Guards against duplicate runs after a late delete deregisters an agent in use.
    Given a leader whose store carries out deletes late, without an answer
    When an agent is disconnected until it is deregistered, and then connects again
    And the late delete is carried out
    Then each agent that may be given work is registered in the store

  Scenario: An agent that is gone is deregistered although the store does not answer at first
    # Guards against starts that stall because an agent's deregistration got no answer.
    Given a leader whose store carries out deletes late, without an answer
    When an agent is disconnected until it is to be deregistered
    And the store answers again
    Then the agent is no longer registered in the store

  Scenario Outline: The worker of an agent in touch has ended, and nothing ran there
    # Guards against a next leader that starts nothing for seconds, because it waits for
    # agents whose workers were gone before: all VMs then lose power at once.
    Given a leader of 2 agents, and a job that runs at the first
    When the worker of the <agent> agent has not answered for <seconds> s<ends>
    Then the agents that a next leader waits for are <registered>
    When the worker of the <agent> agent answers again
    Then the agents that a next leader waits for are the first and the second

    Examples:
      | agent  | seconds | ends                        | registered           |
      | second | 3       |                             | the first            |
      | second | 1       |                             | the first and the second |
      | second | 3       | , and has an end to be stored | the first and the second |
      | first  | 3       |                             | the first and the second |

  Scenario: Ended jobs are deleted late
    # Guards against an accepted job that a late delete of an earlier one removes.
    Given a leader that deletes 20 ended jobs from a store, which does not answer
    When the jobs are deleted by repeated writes, which are answered
    And a job is submitted under the id of a deleted one
    And the late delete is carried out
    Then that job is in the store, and runs

  Scenario: Ended jobs are deleted without an answer
    # Guards against an accepted job that the repetition of a delete removes.
    Given a leader that deletes 20 ended jobs from a store, which does not answer
    When the late delete is carried out
    And a job is submitted under the id of a deleted one
    And the store answers again
    Then the other jobs are deleted
    And that job is in the store, and runs

  Scenario: A new leader knows the interference that the previous one has measured
    # Guards against seconds of interference and unused room after a change of leader.
    Given a leader that has measured which images interfere
    When the next leader begins
    Then it knows the same interference

  Scenario: Stored interference of an earlier version cannot be read
    # Guards against a leader that fails because of a value which is only a hint.
    Given a store with unreadable interference of images
    When the next leader begins
    Then it leads, and knows no interference

  Scenario: A leader that may not act is asked about jobs
    # Guards against a job that is shown as done, and by the leader before as running.
    Given a leader, and a job that is stored
    And a job that has ended
    When the job runs, and the leader's lease has run out
    Then it does not tell the state of the job, which is read in the store instead
    And it still shows that the other job has succeeded
