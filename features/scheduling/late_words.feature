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

  Scenario: Members of a gang fail in turn
    # A gang is started again and again, though it failed as often as its queue allows:
    # each time another member failed, and failures were counted for each member alone.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When its first member fails, and then, in its next run, its second one
    Then job "g" has ended as failed, and runs no more

  Scenario: Members of a gang fail in one run
    # Two members that fail in one run are one failure of the gang.
    Given 2 VMs of 32 cores
    And a gang "g" of 3 tasks with 2 attempts
    When two of its members fail in one run
    Then all its members run again
