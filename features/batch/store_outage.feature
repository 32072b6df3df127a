Feature: A store outage longer than every lease and grant

  Scenario: Running tasks go on, new ones wait, and the store's return is calm
    The store is down for several times the ownership lease and the grants. Running
    tasks are stopped although their VMs are well, or a job is refused as not run and
    runs later, or the returning processes put the store down again.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:9" with 2 cores is submitted
    And job "waiting" of 12 tasks of "sleep:0.2" with 2 cores is submitted
    And the store goes down while 6 tasks of "ledger" run
    And callers submit jobs for 7 seconds
    Then every submission was refused as not run
    And no task of job "ledger" was stopped
    When the store is back after 0 seconds
    Then job "ledger" ends with 6 tasks succeeded
    And job "waiting" ends with 12 tasks succeeded
    And no refused job was ever accepted
    And every process is alive
    And the store took at most 60 writes and 120 reads in any second after its return
    And no task ever ran in two places

  Scenario: The store hangs in the middle of commits
    The store takes calls and answers none. Some tasks end and their ends are being
    committed; the grants of all other tasks on those VMs are not renewed meanwhile,
    because the owner answers an agent only after the commit, and they are evicted.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:9" with 2 cores is submitted
    And job "short" of 6 tasks of "sleep:1.5" with 2 cores is submitted
    And 12 tasks run
    And the store hangs for 6 seconds
    Then no task of job "ledger" was stopped
    And job "ledger" ends with 6 tasks succeeded
    And job "short" ends with 6 tasks succeeded
    And each task of job "short" succeeded once
    And no task ever ran in two places
