Feature: No VM runs more tasks than its capacity allows

  Scenario: An operator shrinks a VM that is full
    Guards against a VM that stays over-committed after an operator lowers its cores
    while tasks fill it, because capacity is checked only when a task starts.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=2"
    And job "ledger" of 4 tasks of "hold" with 2 cores runs on "vm-1" and 1 on "vm-2"
    When the operator lowers "vm-1" to 4 cores
    Then "vm-1" runs at most 2 tasks within 2 seconds
    And no task ever ran in two places
    And each evicted task was checkpointed

  Scenario: An agent is killed and restarted while its worker runs tasks
    Guards against a restarted agent that accepts more tasks than the VM can hold,
    because it has lost its reservations and does not count what the worker still
    runs, while other tasks are pending.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8"
    When job "ledger" of 14 tasks of "sleep:4" with 2 cores is submitted
    And 8 tasks have each run for 1 second
    And an agent that runs tasks and owns no shard of job "ledger" is killed and restarted
    Then job "ledger" ends with 14 tasks succeeded
    And "vm-1" never ran more than 4 tasks at a time
    And "vm-2" never ran more than 4 tasks at a time
    And no task ever ran in two places

  Scenario: Many owners ask one VM for room at once
    Guards against over-commitment when the owners of many shards all see the same
    room free on a VM and ask for it at the same time.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4"
    When 8 jobs of 3 tasks of "sleep:0.3" with 2 cores are submitted at once
    Then all 8 jobs end with 3 tasks succeeded
    And "vm-1" never ran more than 2 tasks at a time
    And "vm-2" never ran more than 2 tasks at a time
    And no task ever ran in two places

  Scenario: Urgent work evicts other work from full VMs
    Guards against urgent work that waits for hours while long tasks fill every VM,
    because an agent without room only refuses it.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4"
    And job "ledger" of 4 tasks of "hold" with 2 cores fills all VMs
    When urgent job "hold-check" of 1 task of "hold" with 2 cores is submitted
    Then a task of "hold-check" runs within 8 seconds
    And "vm-1" never ran more than 2 tasks at a time
    And "vm-2" never ran more than 2 tasks at a time
    And each evicted task was checkpointed
