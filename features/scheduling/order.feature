Feature: Who waits when there is more work than room

  Scenario: Urgent queues go before others
    Given 1 VM of 8 cores
    And 20 jobs of priority 2 wait for room
    And job "urgent" of 1 task with priority 0
    When the room of one task becomes free
    Then job "urgent" runs

  Scenario: Among jobs with as much left to do, one that can't be of use goes last
    Given 1 VM of 4 cores
    And job "hopeless" of 1 task that was handed in 100 s ago
    And job "fresh" of 1 task that was handed in 1 s ago
    When one round has passed
    Then job "fresh" runs
    And job "hopeless" does not run

  Scenario: Among jobs that can be in time, the shortest goes first
    Given 1 VM of 4 cores
    And job "long" of 8 tasks
    And job "short" of 1 task
    When one round has passed
    Then job "short" runs

  Scenario: A short job that is late already does not wait behind a long one
    # Guards against late jobs that starve all day and run beside serving tasks.
    Given 1 VM of 4 cores
    And job "long" of 8 tasks
    And job "hopeless" of 1 task that was handed in 100 s ago
    When one round has passed
    Then job "hopeless" runs

  Scenario: More jobs are in time than first come, first served
    # Guards against more missed deadlines than in order of arrival.
    Then of 30 jobs in a burst at 2.5 times the room, more are in time than in order of arrival

  Scenario: A VM on which everything fails is passed over
    # Guards against a faulty worker that takes and fails most of the tasks.
    Given 2 VMs of 32 cores
    When 2 runs in a row fail on the first VM
    And job "a" of 4 tasks comes
    Then only the second VM runs tasks

  Scenario: Builds wait for room rather than run where everything fails
    # Guards against jobs that use up all attempts on the one VM that fails everything.
    Given 8 VMs of 32 cores
    And filling tasks have taken all cores
    And job "builds" of 12 filling tasks of image "build"
    When the first VM fails all it starts, and 3 s pass
    Then no job has failed
    And the first VM started at most 12 tasks
    When the tasks elsewhere succeed, and 3 s pass
    Then job "builds" runs away from the first VM

  Scenario: A VM where everything failed is tried with one task, then used again
    # Guards against attempts lost on a faulty VM, or its room lost after it recovers.
    Given 8 VMs of 32 cores
    And filling tasks have taken all cores
    And job "builds" of 12 filling tasks of image "build"
    When the first VM fails all it starts, and 3 s pass
    And 6 s pass in which it fails nothing
    Then 1 task runs on the first VM
    When that task succeeds, and 1 s passes
    Then 8 tasks run on the first VM

  Scenario: Where most VMs fail what they start they are used all the same
    # Guards against VMs quarantined for failures that the work itself causes.
    Given 8 VMs of 32 cores
    When on 4 VMs everything fails, and job "wide" of 64 filling tasks comes
    Then job "wide" runs on all VMs

  Scenario: Short urgent work goes before urgent work that lasts
    # Guards against short urgent tasks that wait behind urgent ones that last.
    Given 1 VM of 8 cores
    And a lasting job and a short one come at once
    When one round has passed
    Then job "short" runs

  Scenario: A VM that turned slow is passed over
    # Guards against tasks placed on a VM that makes no progress.
    Given 2 VMs of 32 cores, the first with 32 more
    When tasks on the first VM make no progress for 2 s
    And job "a" of 4 tasks comes
    Then none of job "a" runs on the first VM
