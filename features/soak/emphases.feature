Feature: Guarantees under shutdowns and odd entries

  Scenario: A short soak test of stops, reloads and a loss of power loses no work
    # Guards against work or requests that are lost when signals come in series and all VMs stop at once.
    When seed 17006 of "shutdowns" is run with 5 s of faults
    Then no guarantee was violated

  Scenario: A short soak test of odd values of another writer loses no work
    # Guards against a part that stops, or work that waits, for a value that can't be read.
    When seed 19007 of "odd-entries" is run with 5 s of faults
    Then no guarantee was violated
