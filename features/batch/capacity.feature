Feature: No VM is committed beyond what it holds

  Scenario: An operator shrinks a VM that is full
    An operator lowers a VM's cores in the inventory while tasks fill it. The VM
    stays over-committed until they end by themselves, because nothing but a new
    start ever looked at what is committed.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=2"
    And job "ledger" of 4 tasks of "hold" with 2 cores runs on "vm-1" and 1 on "vm-2"
    When the operator lowers "vm-1" to 4 cores
    Then "vm-1" runs at most 2 tasks within 2 seconds
    And no task ever ran in two places
    And each evicted task was checkpointed

  Scenario: An agent is killed while its worker goes on, and comes back
    Tasks wait for room. The agent on the full VM is killed and restarted; it has
    forgotten what it committed, and takes in more than the VM holds, because what
    the worker still runs is not counted.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8"
    When job "ledger" of 14 tasks of "sleep:4" with 2 cores is submitted
    And 8 tasks have each run for 1 second
    And an agent that runs tasks and owns no shard of job "ledger" is killed and started
    Then job "ledger" ends with 14 tasks succeeded
    And "vm-1" never ran more than 4 tasks at a time
    And "vm-2" never ran more than 4 tasks at a time
    And no task ever ran in two places

  Scenario: Many owners ask one VM for room at once
    A team's jobs lie in many shards, whose owners each see the same room free and
    ask for it at the same instant. Were each to count on what it saw, the VM would
    hold several times its cores.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4"
    When 8 jobs of 3 tasks of "sleep:0.3" with 2 cores are submitted at once
    Then all 8 jobs end with 3 tasks succeeded
    And "vm-1" never ran more than 2 tasks at a time
    And "vm-2" never ran more than 2 tasks at a time
    And no task ever ran in two places

  Scenario: Urgent work comes to VMs full of other work
    A caller submits urgent work while long tasks fill every VM. It waits for hours,
    because an agent without room only ever says no.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4"
    And job "ledger" of 4 tasks of "hold" with 2 cores fills all VMs
    When urgent job "hold-check" of 1 task of "hold" with 2 cores is submitted
    Then a task of "hold-check" runs within 8 seconds
    And "vm-1" never ran more than 2 tasks at a time
    And "vm-2" never ran more than 2 tasks at a time
    And each evicted task was checkpointed
