Feature: One run of a task at a time, in order, within the room of its VM

  Scenario: A step starts once all tasks of the step before have succeeded
    # Guards against tasks that start before the results that they depend on exist.
    Given 2 VMs of 32 cores
    And job "a" of 2 tasks, and then of 1 task
    When all tasks of the first step but one have succeeded
    Then no task of the second step has started
    When the last one has succeeded too
    Then 1 task of the second step runs

  Scenario: Room is free only once the end of a run is listed
    # Guards against a VM over its capacity while a stopped run still ends.
    Given 1 VM of 8 cores
    And job "a" of 2 tasks with 4 cores
    And job "b" of 1 task with 4 cores
    When job "a" is cancelled, and its stops are on their way
    Then job "b" does not run
    When the worker lists the ends
    Then job "b" runs

  Scenario: A run whose start order has not arrived yet is not started again
    # Guards against duplicate runs when a report and a start order cross.
    Given 2 VMs of 32 cores
    And job "a" of 1 task
    When its start is sent and an earlier report arrives
    Then no second start is sent
    When a report arrives that has taken the orders and does not show the run
    Then a second start with a higher run is sent

  Scenario: A start that was held back is not sent after its job is cancelled
    # Guards against a cancelled job that starts when its agent reconnects.
    Given 1 VM of 32 cores
    And the agent is disconnected
    And job "a" of 1 task is placed nevertheless
    When job "a" is cancelled and the agent reconnects
    Then its start is never sent

  Scenario: A task whose runs fail too often fails its job, and no run follows
    # Guards against a task that fails for ever and uses up room.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 3 attempts
    When each of its runs fails
    Then it was started 3 times and job "a" has failed

  Scenario: Long-running tasks are started again however they end
    # Guards against a service that stays down after one of its runs has ended.
    Given 2 VMs of 32 cores
    And job "w" of 2 serving tasks
    When its runs end by a failure, and then by a success
    Then 2 of its tasks run again

  Scenario: An end is acknowledged only once it is durable
    # Guards against an end that the worker forgets before it is stored.
    Given 1 VM of 32 cores
    And job "a" of 1 task
    When it succeeds while the store is unavailable
    Then its end is not acknowledged and it is shown as running
    When the store has its record
    Then its end is acknowledged and it is shown as succeeded

  Scenario: No more tasks of a step on one VM than its submitter allows
    # Guards against a lost VM that stops more tasks than the submitter accepts.
    Given 3 VMs of 32 cores
    And job "a" of 6 tasks, at most 1 a VM
    When some rounds have passed
    Then each VM runs 1 of them

  Scenario: Nothing starts in a zone that was taken out
    # Guards against new work in a zone that an operator is emptying.
    Given 2 VMs of 32 cores, the second in zone "martin-a"
    And zone "martin-a" is taken out
    And job "a" of 12 tasks
    When some rounds have passed
    Then only the first VM runs tasks

  Scenario: A gang starts as a whole or not at all
    # Guards against gang members that hold room while the others find none.
    Given 1 VM of 8 cores
    And job "g" of a gang of 3 tasks with 4 cores
    When some rounds have passed
    Then job "g" does not run
    When another VM of 8 cores comes
    Then all 3 members run under one run number

  Scenario: A recurring job starts each time it is due
    # Guards against occurrences that start early, late or not at all.
    Given 1 VM of 32 cores
    And job "t" that is due in 10 s and again 5 s later
    When 9 s have passed
    Then it was started 0 times
    When 2 s have passed
    Then it was started 1 times
    When 5 s have passed
    Then it was started 2 times

  Scenario: Random histories violate no invariant
    # Guards against duplicate runs and VMs over capacity after mixed failures.
    Then 120 random histories violate no invariant

  Scenario: Random histories of workers that differ and are replaced
    # Guards against starts at a worker that lacks the room, label or service, or has too many tasks of the step.
    Then 200 random histories with workers of many kinds break no rule at a worker

  Scenario: An expired ticket is requested again, a denied one never
    # Guards against starts that are refused because tickets expire while a step waits.
    Given 2 VMs of 32 cores
    And job "a" of 1 task of an advised queue
    When the advice service is asked, and grants the second VM for 1 s
    And 2 s pass without a round
    Then only the second VM is asked about again
    When it is granted a ticket again
    Then job "a" runs on the second VM

  Scenario: An agent that refuses starts is not asked again at once
    # Guards against an agent flooded with starts that it refuses.
    Given 1 VM of 32 cores
    And its agent refuses every start
    And job "a" of 1 task
    When 3 s have passed in rounds
    Then at most 6 starts were sent
    When its agent refuses no more, and 1 s has passed
    Then job "a" runs

  Scenario: An end is listed while its start is still in doubt
    # Guards against a task that never runs again after a stop that was in doubt.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When its run is stopped, and is reported in doubt for two reports more
    And some rounds have passed
    Then job "a" runs
