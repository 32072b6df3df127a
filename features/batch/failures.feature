Feature: Failing workers, failing jobs and bursts of cancellations

  Scenario: A worker fails everything it starts
    Guards against most tasks being placed again and again on a VM whose worker fails
    each task at once, because it always has room, while healthy VMs are idle.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the worker on "vm-1" fails everything
    And 6 jobs of 8 tasks of "sleep:0.2" with 2 cores are submitted at once
    Then all 6 jobs end with 8 tasks succeeded
    And "vm-1" started at most 12 tasks

  Scenario: A worker fails tasks of a job while more tasks of it are being placed
    Guards against a job that loses more tasks on a VM than allowed before the VM
    refuses its tasks. The worker fails each task at once, and the agent gives the room
    to the next tasks of the same job and counts those only once they have failed too.
    Given VMs "vm-1" and "vm-2", each with room for 4 tasks
    When the worker of "vm-1" fails all tasks, and 3 jobs start tasks there in two rounds, the second once the first has failed
    Then the worker of "vm-1" was asked to start 12 tasks at most

  Scenario: One task of a job fails while others run for a long time
    Guards against a VM that leaves room idle for hours after one failure, because it
    accepts no more tasks of the job until the job's other tasks there have ended.
    Given VMs "vm-1" and "vm-2", each with room for 4 tasks
    When 3 tasks of job "ledger" run at "vm-1" and one more fails
    Then "vm-1" takes another task of job "ledger" within 6 s

  Scenario: A job can never run
    Guards against a job whose tasks fail on every VM being retried forever, blocking
    healthy VMs for other jobs, or ending without a reason in its account.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "broken" of 20 tasks of "fail" with 2 cores is submitted
    Then job "broken" failed, and its account says where
    When job "ledger" of 12 tasks of "sleep:0.2" with 2 cores is submitted
    Then job "ledger" ends with 12 tasks succeeded

  Scenario: All tasks of a job fail on all VMs at the same time
    Guards against a job that stays pending for half a minute, without a reason, after
    its tasks failed on three VMs at once. Each end was evaluated before the others
    were committed, and the VMs, which now refused the job, reported no more failures.
    Given a job whose 6 tasks run on 3 VMs, evenly spread
    When the agents of all 3 VMs report at the same time that these have failed
    Then the job is stopped, and the reason names the 3 VMs

  Scenario: A burst of cancellations while the store is slow
    Guards against tasks that keep running, or start after their job was cancelled
    while they were being placed, when callers cancel many jobs at once, each twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When 10 jobs of 10 tasks of "hold" with 2 cores are submitted at once
    And 10 tasks run
    And the store answers 0.2 seconds late
    And every job is cancelled twice at once
    Then every job's account shows "cancelled" and no task runs
