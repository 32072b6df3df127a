Feature: A leader that takes long to restore what is stored

  Scenario: An entry is told who leads before it has read it
    # Guards against a leader that may not act while the store is away, for want of the
    # word of an entry that has started since.
    Given 3 entries on virtual time, the first of them 4 times as large, which leads
    When a small entry dies, comes back and is told at once who leads
    Then it gives the leader its word within 1 s
