Feature: What is lost or comes late between leader and agents

  Scenario: The order that acknowledges an end is lost
    # An end stays listed for as long as nothing else is ordered there: the connection
    # broke with the acknowledgement on it, and it was not sent again. Each next leader
    # hears of the end once more.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When it succeeds, and the orders that acknowledge that are lost with their connection
    And some rounds have passed
    Then no worker lists an end

  Scenario: Members of a gang fail in turn
    # A gang is started again and again, though it failed as often as its queue allows:
    # each time another member failed, and failures were counted for each member alone.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When its first member fails, and then, in its next run, its second one
    Then job "g" has ended as failed, and runs no more

  Scenario: Members of a gang fail in one run
    # Two members that fail in one run are one failure of the gang.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When two of its members fail in one run
    Then all its members run again

  Scenario: A leader starts a task more often than numbers were set aside for it
    # Two runs of a task have one number. One leader starts a task that fails at once
    # over a thousand times and reaches into the numbers of the next one, which used
    # them again, though the end of such a run was listed to it.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    And this leader has started it 1000 times more
    When its run ends, and a new leader hears of that
    Then no two runs of job "w" have one number

  Scenario: A failure of an earlier run number counts beside a later one
    # A task is tried more often than its queue allows: the record names a failed run that
    # a later leader's own run has for a number, and the second failure passed for known.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 2 attempts, whose run 1001 has failed, as leader 1 stored
    When leader 2 restores it, and its run fails
    Then job "a" has ended as failed, and runs no more

  Scenario: An acknowledged failure of a job that recurs, where the clock is behind
    # A task is tried more often than its queue allows. Its failure is stored and was
    # acknowledged, so that nothing is listed any more; by the clock of the next leader
    # its occurrence is not due yet, and the stored failure found no task to go to.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    And its run has failed, and that was acknowledged
    When a leader whose clock is 10 s behind restores it
    And 12 s pass with all agents in touch
    And each run that goes on fails
    Then job "t" has failed after 1 start

  Scenario: A worker has more ends than it lists at once
    # A task that was done runs again. While the store is away no end is acknowledged; a
    # worker lists so many at a time, and the latest are not among them. A run whose end
    # was left out is listed nowhere, and counted as gone.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its run succeeds, and its worker's list has no place for that end
    And some rounds have passed
    Then no second start is sent
    When the list has a place for it
    And some rounds have passed
    Then job "a" has succeeded without another start

  Scenario: An answer in which ends may have had no place
    Then a list of 499 ends is taken for whole, and one of 500 is not

  Scenario: A worker that is lost had more ends than it lists at once
    # A task waits for ever: its run ended at a worker that is gone, and the list in
    # which that end had no place stayed the last one.
    Given an agent whose worker listens at its VM's address
    When the worker lists 500 ends and its port refuses 5 connections
    Then its list counts as whole once its runs count as lost
