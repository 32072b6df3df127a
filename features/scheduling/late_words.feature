Feature: What is lost or comes late between leader and agents

  Scenario: The order that acknowledges an end is lost
    # An end stays listed for as long as nothing else is ordered there: the connection
    # broke with the acknowledgement on it, and it was not sent again. Each next leader
    # hears of the end once more.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When it succeeds, and the orders that acknowledge that are lost with their connection
    And some rounds have passed
    Then no worker lists an end
