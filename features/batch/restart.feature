Feature: Processes with incomplete state do not give definite answers

  Scenario: A start order is repeated while the agent is still listing its running tasks
    Guards against a task that runs twice. An agent starts it at its worker and fails
    before it answers. The owner repeats the order to the restarted agent, which does
    not know the attempt and answers that it never started, so the owner assigns the
    task to another VM.
    Given VMs "vm-1" and "vm-2", where the worker of "vm-1" runs attempt "0.travel-desk.ledger/0/1"
    When the agent on "vm-1" restarts and the start order is repeated at once
    Then the answer does not say that the attempt never started
    And once it has listed its running tasks, the agent answers that the attempt runs

  Scenario: A new team submits before the shard's owner has the new configuration
    Guards against a caller being told that its team does not exist just after the
    operators' change was accepted. The entry has the new rules, and the shard's owner
    does not have them yet.
    Given VMs "vm-1" and "vm-2", where the worker of "vm-1" runs attempt "0.travel-desk.ledger/0/1"
    When a sender with the next revision submits a job of a team added in it
    Then the owner answers that it is behind and not that there is no such team
