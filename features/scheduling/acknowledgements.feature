Feature: Ends are acknowledged once no start of their task can still be carried out

  Scenario: A later start of the task is in doubt when its end is listed
    # Guards against a finished task that runs again because a start is carried out late.
    Given 2 VMs of 32 cores
    And a task whose first run was taken for lost, and whose second start is in doubt
    When the first run turns out to have succeeded
    Then that end is not acknowledged
    When the second start is known never to have run
    Then that end is acknowledged

  Scenario: The VM of the start in doubt is lost
    # Guards against ends that are never acknowledged because of a VM that is gone.
    Given 2 VMs of 32 cores
    And a task whose first run was taken for lost, and whose second start is in doubt
    When the first run turns out to have succeeded
    And the VM of the second start is not heard of until its leases have lapsed
    Then that end is acknowledged

  Scenario: A new leader has not heard of the start in doubt
    # Guards against a finished task that runs again after a change of leader.
    Given 2 VMs of 32 cores
    And a task whose first run was taken for lost, and whose second start is in doubt
    When a new leader learns of the first run's success before it hears of the second start
    Then that end is not acknowledged
    When it hears of the second start
    Then that end is not acknowledged
    When the second start is known never to have run
    Then that end is acknowledged

  Scenario: A member's start of a gang is in doubt when another run of the gang ends
    # Guards against a member of a gang that starts after the gang has succeeded.
    Given 3 VMs of 32 cores
    And a gang whose first run was taken for lost, and one of whose second starts is in doubt
    When the first run turns out to have succeeded
    Then that end is not acknowledged
    When the second start is known never to have run
    Then that end is acknowledged

  Scenario: A task that failed runs again
    # Guards against lists that grow while the next run of a failed task goes on.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its run fails, and the next one goes on
    Then that end is acknowledged

  Scenario: Random losses, starts in doubt and changes of leader
    # Guards against starts carried out after an acknowledged end, in any order of events.
    When 1200 random histories of starts in doubt are played
    Then no task was started after an acknowledged end, and all ends were acknowledged

  Scenario: The job of an end was deleted before all agents have reported
    # Guards against a list that is never acknowledged again after a job was deleted.
    Given 2 VMs of 32 cores
    And a job that has ended, one of whose ends a new leader may not acknowledge yet
    When the job is deleted, and then the last agent reports
    Then that end is acknowledged
