Feature: Shards are spread evenly over the agents, and ended jobs stay small

  Scenario: All agents but one fail and restart while a job runs
    Guards against an agent that uses far more CPU time and traffic than a daemon may,
    because it claimed all shards while it was alone and keeps them when the others are
    back. Releasing them must neither lose a task nor run one twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8" whose owners keep a shard 1 second
    When all agents but that on "vm-1" are killed
    Then "vm-1" eventually owns all 4 shards
    When the killed agents are restarted
    And job "ledger" of 30 tasks of "sleep:0.5" with 2 cores is submitted
    Then each shard is owned by the first-ranked agent or one within its fair share
    And job "ledger" ends with 30 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places

  Scenario: A job of 1000 tasks ends and keeps only its account
    Guards against a shard at peak load that exceeds the store's largest value within
    an hour and can't write its snapshot any more, because it keeps every task of the
    jobs that ended in the last day.
    Given a shard's record with a job of 1000 tasks
    When all of its tasks end, 3 of them after an eviction and 2 after a failure
    Then the record's snapshot is smaller than 1000 bytes
    And the account, also after a restore, shows 1000 succeeded, 3 evictions, 2 failures
