Feature: A request in doubt is not reported as not run

  Scenario: The agent refuses to be asked for the outcome
    # Guards against the refusal of a query that is taken for that of the request.
    Given an agent that does not answer a request and refuses the first query for it
    When a request is relayed
    Then its outcome is that of the next query, "outcome_unknown"

  Scenario: An idempotent request is refused by the second agent
    # Guards against "not_run" for a request that the first agent may still run.
    Given an agent that answers neither a request nor a query, and one that refuses it
    When an idempotent request is relayed
    Then both agents have received it
    And the request's outcome is "outcome_unknown"
