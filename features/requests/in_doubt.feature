Feature: A request in doubt is not reported as not run

  Scenario: The agent refuses to be asked for the outcome
    # Guards against the refusal of a query that is taken for that of the request.
    Given an agent that does not answer a request and refuses the first query for it
    When a request is relayed
    Then its outcome is that of the next query, "outcome_unknown"
