Feature: Callers get complete answers and correct refusals, and requests run once

  Background:
    Given two entries and two agents that the feature shares, the first agent behind a link

  Scenario: Concurrent callers each get their own answer
    # Guards against answers that are mixed up between callers, or truncated.
    When 40 callers request answers of different sizes and delays at once
    Then each has received its own complete answer
    And an answer of 6000000 bytes arrives complete
    And a request body of 1000000 bytes reaches the endpoint complete

  Scenario: Requests and answers pass between caller and endpoint unchanged
    # Guards against paths, lengths and cookies that change on the way, and
    # truncated bodies.
    Then a HEAD answer states the length of the GET answer
    And the path "/a%2Fb/../c%20d?x=%41&x=2" reaches the endpoint unchanged
    And an answer 204 and an answer 304 have no body
    And an answer body that breaks off is reported as "outcome_unknown"

  Scenario: A connection goes silent permanently
    # Guards against callers that wait without end, or whose request runs twice,
    # because the connection from an entry to an agent has gone silent.
    When the link goes silent and callers post for 3 seconds
    Then what the callers were answered agrees with the endpoints' records
    And every post was answered 200 within 1.9 seconds

  Scenario: Answers are delayed and delivered late
    # Guards against a caller that receives the delayed answer to another request.
    When the link delays all data for 1.5 seconds while callers post
    Then what the callers were answered agrees with the endpoints' records

  Scenario: A request arrives after it was settled as never seen
    # Guards against a late request that runs after its caller was told "not run".
    When a peer settles a request before it sends it
    Then the agent answers "not_run" both times and the request has not run

  Scenario: A settle arrives after the record of the request has expired
    # Guards against a caller that is told "not run" about a request that ran, because
    # an expired record was taken for one that never existed.
    When a peer settles a request that has run and whose record has expired
    Then the agent answers "outcome_unknown" both times and the request has run once

  Scenario: A request with an idempotency key is repeated through the other entry
    # Guards against a retried request that runs twice or gets the answer to another.
    When the same idempotency key is posted through both entries at once
    Then both get the same answer and the request has run once
    And the key with another body is refused as "conflict"
    And a key that no entry has issued is refused as "invalid"
    When the agent that the key names is stopped
    Then the key is refused as "unavailable" or "outcome_unknown", and its request has run once
    When the agent that the key names is started again
    Then the key is eventually refused as "outcome_unknown", and its request has run once

  Scenario: More requests arrive than the queues hold
    # Guards against callers that wait in the queue in vain, and against a caller that
    # is told "not run" about a request that ran.
    When endpoints are slow and 60 callers post at once
    Then some were refused as "not_run" within 2.5 seconds, each with its own Retry-After
    And what the callers were answered agrees with the endpoints' records
