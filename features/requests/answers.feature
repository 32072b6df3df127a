Feature: Requests of callers: whole answers, true refusals, one run

  Background:
    Given the feature's two entries and two agents, the first agent behind a link

  Scenario: Answers cross, and each caller gets its own
    # Guards against answers that are mixed up between callers, or truncated.
    When 40 callers ask at once, each for another size after another delay
    Then each has its own answer, whole
    And an answer of 6000000 bytes comes whole
    And a body of 1000000 bytes reaches the endpoint whole

  Scenario: What an endpoint says reaches the caller unchanged
    # Guards against paths, lengths and cookies that change on the way, and cut bodies.
    Then a HEAD has the length that the GET has
    And the path "/a%2Fb/../c%20d?x=%41&x=2" reaches the endpoint as it was sent
    And an answer 204 and an answer 304 come without a body
    And a body that breaks off is answered "outcome_unknown"

  Scenario: A connection goes silent for good
    # Guards against callers left waiting, or charged twice, by a silent connection.
    When the link goes silent and callers post for 3 seconds
    Then what they were told is true by the endpoints' records
    And every post was answered 200 within 1.9 seconds

  Scenario: Answers are held back and delivered late
    # Guards against a caller that is given the answer to an earlier request.
    When the link holds everything back for 1.5 seconds while callers post
    Then what they were told is true by the endpoints' records

  Scenario: The original arrives after it was settled as never seen
    # Guards against a request that runs after its caller was told that it had not.
    When a peer settles a request that never came and then sends it
    Then the agent says "not_run" both times and the request has not run

  Scenario: A settle comes after the agent has forgotten
    # Guards against a caller told "not run" of a request that ran.
    When a peer settles a request that ran so long ago that it is forgotten
    Then the agent says "outcome_unknown" both times and the request has run once

  Scenario: A charge is repeated through the other entry
    # Guards against a request run twice, or given another's answer, when it is retried.
    When the same key is posted through both entries at once
    Then both have the same answer and it has run once
    And the key with another body is refused as "conflict"
    And a key that nobody gave out is refused as "invalid"
    When the agent that the key names is stopped
    Then the key is refused as "unavailable" or "outcome_unknown", and has run once
    When the agent that the key names is started again
    Then the key is refused as "outcome_unknown" in the end, and has run once

  Scenario: More requests than the queues take
    # Guards against a caller told "not run" after a wait in vain, though it ran.
    When endpoints are slow and 60 callers post at once
    Then some were refused as "not_run" within 2.5 seconds, each with its own Retry-After
    And what they were told is true by the endpoints' records
