Feature: Evicted work resumes exactly once, from its last checkpoint

  Scenario: A VM is replaced, and the owner is killed before it hears of the ends
    A planned stop checkpoints and stops a VM's tasks. The owner of their shard is
    killed at the same moment, so that the reports come late and twice. A task
    could be lost, start twice, or begin anew in place of at its checkpoint.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:4" with 2 cores is submitted
    And 6 tasks have each run for 1 second
    And an agent that runs tasks and owns no shard of job "ledger" is told to stop
    And the owner of job "ledger" is killed and started again
    Then job "ledger" ends with 6 tasks succeeded
    And each task of job "ledger" succeeded once
    And no stopped task of "sleep:4" ran longer than 4 seconds in all
    And no task ever ran in two places

  Scenario: A zone goes out, and the store goes down with it
    Operators take a zone out, and in the same second the store fails. The zone's
    tasks are checkpointed, but their ends can't be committed until the store is
    back; then each must resume once, from its checkpoint.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-b=8"
    When job "ledger" of 9 tasks of "sleep:5" with 2 cores is submitted
    And 9 tasks have each run for 1 second
    And the operator takes zone "zilina-a" out and the store goes down
    Then "vm-1" runs at most 0 tasks within 2 seconds
    And no other task ended meanwhile
    When the store is back after 4 seconds
    Then job "ledger" ends with 9 tasks succeeded
    And each task of job "ledger" succeeded once
    And no stopped task of "sleep:5" ran longer than 5 seconds in all
    And no task ever ran in two places
