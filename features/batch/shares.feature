Feature: No agent owns more shards than its share for long

  Scenario: All agents but one die and come back while a job runs
    One agent's processor time and bytes go far over what a daemon may spend, because
    it claimed all shards while it was alone, and keeps them when the others are back.
    Handing them back must neither lose a task nor run one twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8" whose owners keep a shard 1 second
    When all agents but that on "vm-1" are killed
    Then "vm-1" owns all 4 shards in the end
    When the killed agents are started again
    And job "ledger" of 30 tasks of "sleep:0.5" with 2 cores is submitted
    Then each shard is owned by the agent first for it, or by one with its share
    And job "ledger" ends with 30 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places

  Scenario: A thousand tasks end, and their job's account stays
    A shard at the peak outgrows the store's largest value within the hour, and can't
    write its snapshot any more, because it keeps each task of a day's ended jobs.
    Given a shard's record with a job of 1000 tasks
    When all of its tasks end, 3 of them after an eviction and 2 after a failure
    Then the record's snapshot is smaller than 1000 bytes
    And the account, also after a restore, shows 1000 succeeded, 3 evictions, 2 failures
