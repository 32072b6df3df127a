Feature: The request path under faults that come together

  Scenario: Callers, keys and faults in any order
    # A customer is charged twice, charged after "not run", or shown another's answer.
    # Posts and keyed posts go through two entries while connections fall silent, are
    # held back or cut, and agents and entries are frozen, thawed, killed and restarted.
    Given two entries and two agents, the first agent behind a link
    When callers, keys and faults come in 6 derandomized orders of 16 steps
    Then every word to a caller is borne out by the endpoints' records
