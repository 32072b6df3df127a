Feature: The request path under combined faults

  Scenario: Requests, idempotency keys and faults in random orders
    # Guards against requests that run twice, that run although the caller was told
    # "not run", and answers to the wrong caller, when links, agents and entries fail
    # while requests are in flight.
    Given two entries and two agents, the first agent behind a link
    When requests, keys and faults come in 6 derandomized orders of 16 steps
    Then every answer to a caller agrees with the endpoints' records
