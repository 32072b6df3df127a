Feature: Messages between leader and agents that are lost or late

  Scenario: The order that acknowledges an end is lost
    # Guards against an end that stays listed because its acknowledgement was lost.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When it succeeds, and the orders that acknowledge that are lost with their connection
    And some rounds have passed
    Then no worker lists an end

  Scenario: Members of a gang fail in turn
    # Guards against a gang retried beyond its attempts when different members fail.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When its first member fails, and then, in its next run, its second one
    Then job "g" has ended as failed, and runs no more

  Scenario: Members of a gang fail in one run
    # Guards against a gang that uses up two attempts when two members fail in one run.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When two of its members fail in one run
    Then all its members run again

  Scenario: A leader starts a task more often than it has run numbers reserved
    # Guards against two runs of a task with one number after a change of leader.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    And this leader has started it 1000 times more
    When its run ends, and a new leader gets a report of that
    Then no two runs of job "w" have one number

  Scenario Outline: A failure counts although an earlier leader used run number <run>
    # Guards against a task run beyond its attempts when leaders reuse a run number.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 2 attempts, whose run <run> has failed, as leader 1 stored
    When leader 2 restores it, and its run fails
    Then job "a" has ended as failed, and runs no more

    Examples:
      | run     |
      | 1001    |
      | 1048577 |

  Scenario: An acknowledged failure of a recurring job counts when a leader's clock is behind
    # Guards against a failure that is forgotten because its occurrence is not yet due.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts is recurring, and its first task runs
    And its run has failed, and that was acknowledged
    When a leader whose clock is 10 s behind restores it
    And 12 s pass with all agents connected
    And each run in progress fails
    Then job "t" has failed after 1 start

  Scenario: A worker has more ends than it lists at once
    # Guards against a finished task that runs again because a list of ends was full.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its run succeeds, and its worker's full list omits that end
    And some rounds have passed
    Then no second start is sent
    When the list includes that end
    And some rounds have passed
    Then job "a" has succeeded without another start

  Scenario: A list of ends is complete only below its greatest length
    # Guards against a finished task that runs again: a full list left its end out.
    Then a list of 499 ends counts as complete, and one of 500 does not

  Scenario: A lost worker had more ends than it lists at once
    # Guards against a task that never runs again after a lost worker's list was full.
    Given an agent whose worker listens at its VM's address
    When the worker lists 500 ends and its port refuses 5 connections
    Then its list counts as complete once its runs count as lost

  Scenario: A worker restarts, and its agent has no list of its runs yet
    # Guards against a finished task that runs again: its end was acknowledged unseen.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    And its run has succeeded, and that was acknowledged
    And job "b" of 1 task runs
    When its worker restarts, and the first report after that has no list
    And job "b" is cancelled
    And some rounds have passed
    Then no end of the worker's new incarnation was acknowledged
