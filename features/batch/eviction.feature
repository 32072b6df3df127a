Feature: Evicted work resumes exactly once, from its last checkpoint

  Scenario: A VM is replaced, and the owner is killed before the ends are reported
    Guards against a task that is lost, starts twice, or restarts from the beginning
    instead of its checkpoint. A planned stop checkpoints and stops a VM's tasks, and
    the owner of their shard is killed at the same time, so that the reports arrive
    late and twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:4" with 2 cores is submitted
    And 6 tasks have each run for 1 second
    And an agent that runs tasks and owns no shard of job "ledger" is told to stop
    And the owner of job "ledger" is killed and restarted
    Then job "ledger" ends with 6 tasks succeeded
    And each task of job "ledger" succeeded once
    And no stopped task of "sleep:4" ran longer than 4 seconds in total
    And no task ever ran in two places

  Scenario: A zone is taken out and the store fails in the same second
    Guards against tasks that resume twice or not from their checkpoint. The tasks of
    the zone are checkpointed, but their ends can't be committed until the store is
    back.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-b=8"
    When job "ledger" of 9 tasks of "sleep:5" with 2 cores is submitted
    And 9 tasks have each run for 1 second
    And the operator takes zone "zilina-a" out and the store goes down
    Then "vm-1" runs at most 0 tasks within 2 seconds
    And no task on another VM failed or was stopped meanwhile
    When the store is back after 4 seconds
    Then job "ledger" ends with 9 tasks succeeded
    And each task of job "ledger" succeeded once
    And no stopped task of "sleep:5" ran longer than 5 seconds in total
    And no task ever ran in two places

  Scenario: A shard's owner is paused past the grants of its tasks and resumes
    # Guards against evicted tasks that restart from the beginning: their agents have
    # checkpointed them, and the reports wait unread at the owner when it resumes.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 8 tasks of "sleep:6" with 2 cores is submitted
    And 8 tasks have each run for 1 second
    And the owner of job "ledger" is paused until all grants have lapsed
    And the paused agent resumes
    Then job "ledger" ends with 8 tasks succeeded
    And each task of job "ledger" succeeded once
    And no stopped task of "sleep:6" ran longer than 6 seconds in total
    And no task ever ran in two places
