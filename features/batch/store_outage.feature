Feature: A store outage longer than every lease and grant

  Scenario: Running tasks continue, pending ones wait, and the store is not overloaded afterwards
    Guards against three failures when the store is down for several times the
    ownership lease and the grants: running tasks are stopped on healthy VMs, a job
    that was refused as not run runs later, or the load of all processes at the store's
    return overloads it again.
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
    Guards against evictions while the store accepts calls but does not answer. Some
    tasks end and their ends are being committed. If the owner answers an agent only
    after that commit, the grants of the other tasks on its VM are not renewed.
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
