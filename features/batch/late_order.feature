Feature: An order that was held back starts nothing once it is out of date

  Scenario: A start order is delivered after its attempt was given to another VM
    A task runs on two VMs. Its owner orders a start over a connection that holds the
    order back, gives the task to another VM after the reservation has lapsed, and the
    connection then delivers the first order after all.
    Given VMs "vm-2" and "vm-1", where the worker of "vm-2" runs attempt "0.travel-desk.ledger/0/2"
    When "vm-1" holds room for attempt "0.travel-desk.ledger/0/1" and its start order comes after 1 second
    Then the agent says that the attempt never started, and its worker runs nothing
    And the same order sent once more is answered the same way
