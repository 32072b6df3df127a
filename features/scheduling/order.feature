Feature: The order of waiting work when there is too little room

  Scenario: Urgent queues go before others
    # Guards against urgent jobs that wait behind a backlog of other work.
    # Guards against urgent jobs that wait behind a backlog of other work.
    Given 1 VM of 8 cores
    And 20 jobs of priority 2 wait for room
    And job "urgent" of 1 task with priority 0
    When the room of one task becomes free
    Then job "urgent" runs

  Scenario: Among jobs with equal remaining work, one that is too late goes last
    # Guards against room spent on a useless result while a useful one waits.
    # Guards against room that is used for a useless result while a useful one waits.
    Given 1 VM of 4 cores
    And job "hopeless" of 1 task that was submitted 100 s ago
    And job "fresh" of 1 task that was submitted 1 s ago
    When one round has passed
    Then job "fresh" runs
    And job "hopeless" does not run

  Scenario: Among jobs that can be in time, the one with least work goes first
    # Guards against short jobs that are late because a long one goes before them.
    # Guards against many short jobs that are late because a long one goes before them.
    Given 1 VM of 4 cores
    And job "long" of 8 tasks
    And job "short" of 1 task
    When one round has passed
    Then job "short" runs

  Scenario: A short job that is late already does not wait behind a long one
    # Guards against late jobs that starve all day and then run beside serving tasks.
    Given 1 VM of 4 cores
    And job "long" of 8 tasks
    And job "hopeless" of 1 task that was submitted 100 s ago
    When one round has passed
    Then job "hopeless" runs

  Scenario: More jobs are in time than in order of arrival
    # Guards against more missed deadlines than in order of arrival.
    Then of 30 jobs in a burst at 2.5 times the room, more are in time than in order of arrival

  Scenario: A VM on which every run fails is avoided
    # Guards against a faulty worker that takes and fails most of the tasks.
    Given 2 VMs of 32 cores
    When 2 runs in a row fail on the first VM
    And job "a" of 4 tasks is submitted
    Then only the second VM runs tasks

  Scenario: Jobs wait for room instead of running on a quarantined VM
    # Guards against jobs that use up all attempts on the one VM that fails everything.
    Given 8 VMs of 32 cores
    And filling tasks have taken all cores
    And job "builds" of 12 filling tasks of image "build"
    When every run on the first VM fails, and 3 s pass
    Then no job has failed
    And the first VM started at most 12 tasks
    When the tasks on the other VMs succeed, and 3 s pass
    Then job "builds" runs on other VMs than the first

  Scenario: A quarantined VM is tested with one task, then used again
    # Guards against attempts lost on a faulty VM, or its room lost after it recovers.
    Given 8 VMs of 32 cores
    And filling tasks have taken all cores
    And job "builds" of 12 filling tasks of image "build"
    When every run on the first VM fails, and 3 s pass
    And 6 s pass in which no run there fails
    Then 1 task runs on the first VM
    When that task succeeds, and 1 s passes
    Then 8 tasks run on the first VM

  Scenario: Many failing VMs are used, because the work may be the cause
    # Guards against VMs quarantined for failures that the work itself causes.
    Given 8 VMs of 32 cores
    When on 4 VMs every run fails, and job "wide" of 64 filling tasks is submitted
    Then job "wide" runs on all VMs

  Scenario: Short urgent tasks go before long-running urgent tasks
    # Guards against short urgent tasks that wait for room behind long-running ones.
    Given 1 VM of 8 cores
    And a long-running job and a short one are submitted together
    When one round has passed
    Then job "short" runs

  Scenario: A VM that has become slow is avoided
    # Guards against tasks placed on a VM that makes no progress.
    Given 2 VMs of 32 cores, the first with 32 more
    When tasks on the first VM make no progress for 2 s
    And job "a" of 4 tasks is submitted
    Then none of job "a" runs on the first VM
