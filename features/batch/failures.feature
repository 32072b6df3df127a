Feature: Bad workers, bad jobs and waves of cancellations

  Scenario: A worker fails everything it starts
    One VM's worker fails each task at once, and so is always the one with room. Most
    tasks go there and fail, again and again, while good VMs stand idle.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the worker on "vm-1" fails everything
    And 6 jobs of 8 tasks of "sleep:0.2" with 2 cores are submitted at once
    Then all 6 jobs end with 8 tasks succeeded
    And "vm-1" started at most 12 tasks

  Scenario: A worker fails the tasks of a job while more of that job are on their way
    One VM's worker fails each task at once. Its agent sees some failures, gives their
    room to the next tasks of the same job, and counts those only when they have failed
    too. Each job loses more tasks there than it may before the VM is closed to it.
    Given VMs "vm-1" and "vm-2", each with room for 4 tasks
    When the worker of "vm-1" fails all it starts, and 3 jobs order tasks there, the next ones when the first have failed
    Then the worker of "vm-1" was asked to start 12 tasks at most

  Scenario: One task of a job fails beside others that run for long
    A VM that takes no more tasks of a job until its other tasks have ended leaves room
    idle for hours because of one failure.
    Given VMs "vm-1" and "vm-2", each with room for 4 tasks
    When 3 tasks of job "ledger" run at "vm-1" and one more fails
    Then "vm-1" takes another task of job "ledger" within 6 s

  Scenario: A job can never run
    Every task of a job fails wherever it starts. It is tried for ever, or takes good
    VMs out of use, or ends without a word on why.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "broken" of 20 tasks of "fail" with 2 cores is submitted
    Then job "broken" failed, and its account says where
    When job "ledger" of 12 tasks of "sleep:0.2" with 2 cores is submitted
    Then job "ledger" ends with 12 tasks succeeded

  Scenario: All tasks of a job fail on all VMs in one moment
    A job that can never run stays pending for half a minute, with no word on why. Its
    tasks failed on three VMs at once, each end was weighed before the others were
    committed, and the VMs, closed to the job, sent no more failures to weigh.
    Given a job whose 6 tasks run on 3 VMs, as many on each
    When the agents of all 3 VMs report in one moment that these have failed
    Then the job is stopped, and the reason names the 3 VMs

  Scenario: A wave of cancellations while the store is slow
    Callers cancel many running jobs at once, each more than once. Tasks go on
    running, or a task that was being placed starts after its job was cancelled.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When 10 jobs of 10 tasks of "hold" with 2 cores are submitted at once
    And 10 tasks run
    And the store answers 0.2 seconds late
    And every job is cancelled twice at once
    Then every job's account shows "cancelled" and nothing runs
