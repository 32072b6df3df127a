Feature: An agent that has just restarted says nothing it does not know

  Scenario: A start order is repeated while the agent still lists what runs
    An agent starts a task at its worker and dies before it answers. Its owner repeats
    the order to the restarted agent, which knows of no such attempt and answers that
    it never started. The owner gives the task to another VM, and it runs twice.
    Given VMs "vm-1" and "vm-2", where the worker of "vm-1" runs attempt "0.travel-desk.ledger/0/1"
    When the agent on "vm-1" restarts and the start order is repeated at once
    Then the answer does not say that the attempt never started
    And as soon as it has listed what runs, the agent answers that it runs

  Scenario: A team is added and submits before the shard's owner has heard of it
    A caller is told that its team does not exist, a moment after the operators' change
    was accepted. The entry has the new rules; the shard's owner has not had them yet.
    Given VMs "vm-1" and "vm-2", where the worker of "vm-1" runs attempt "0.travel-desk.ledger/0/1"
    When an asker that has the next revision submits a job of a team that it adds
    Then the owner asks it to come again, and does not say that there is no such team
