Feature: A delayed start order starts nothing once it is stale

  Scenario: A start order is delivered after its task was assigned to another VM
    Guards against a task that runs on two VMs. Its owner sends a start order over a
    connection that delays it, and assigns the task to another VM once the reservation
    has lapsed. The connection then delivers the first order.
    Given VMs "vm-2" and "vm-1", where the worker of "vm-2" runs attempt "0.travel-desk.ledger/0/2"
    When "vm-1" reserves room for attempt "0.travel-desk.ledger/0/1" and its start order arrives after 1 second
    Then the agent says that the attempt never started, and its worker runs nothing
    And the same order sent once more is answered the same way
