Feature: The request path under faults that come together

  Scenario: Callers, keys and faults in any order
    # Guards against duplicate runs, false "not run" and mixed-up answers under faults.
    Given two entries and two agents, the first agent behind a link
    When callers, keys and faults come in 6 derandomized orders of 16 steps
    Then every word to a caller is borne out by the endpoints' records
