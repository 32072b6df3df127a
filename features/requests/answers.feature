Feature: Requests of callers: whole answers, true refusals, one run

  Background:
    Given the feature's two entries and two agents, the first agent behind a link

  Scenario: Answers cross, and each caller gets its own
    # Callers would see another's seat, or half an answer. Forty requests wait at once
    # on the same streams and are answered in another order than they were asked; one
    # answer is larger than a frame between two processes may be.
    When 40 callers ask at once, each for another size after another delay
    Then each has its own answer, whole
    And an answer of 6000000 bytes comes whole
    And a body of 1000000 bytes reaches the endpoint whole

  Scenario: What an endpoint says reaches the caller unchanged
    # A caller would see a path decoded, a length lost, a cookie dropped, or a body
    # taken for whole though the endpoint broke off within it.
    Then a HEAD has the length that the GET has
    And the path "/a%2Fb/../c%20d?x=%41&x=2" reaches the endpoint as it was sent
    And an answer 204 and an answer 304 come without a body
    And a body that breaks off is answered "outcome_unknown"

  Scenario: A connection goes silent for good
    # A caller would wait until its deadline, or be charged twice. Requests are written
    # into a connection that swallows everything; new connections work. The entry
    # settles over a new one: what never arrived is run elsewhere, and only then.
    When the link goes silent and callers post for 3 seconds
    Then what they were told is true by the endpoints' records
    And every post was answered 200 within 1.9 seconds

  Scenario: Answers are held back and delivered late
    # A caller would get the answer to an earlier request. The link keeps the bytes of
    # all connections back longer than silence is borne, then delivers them at once.
    When the link holds everything back for 1.5 seconds while callers post
    Then what they were told is true by the endpoints' records

  Scenario: The original arrives after it was settled as never seen
    # A caller is told "not run", books elsewhere, and is charged all the same. The
    # original lay in a connection gone silent, and arrives after the settle.
    When a peer settles a request that never came and then sends it
    Then the agent says "not_run" both times and the request has not run

  Scenario: A settle comes after the agent has forgotten
    # A caller is told "not run" of a charge that was made. Its entry was paused longer
    # than the agent keeps answers, and settles afterwards; then the request comes again.
    When a peer settles a request that ran so long ago that it is forgotten
    Then the agent says "outcome_unknown" both times and the request has run once

  Scenario: A charge is repeated through the other entry
    # A customer is charged twice, or told of another's charge. The caller has no answer
    # and sends the same key again, through both entries at once, with another body, and
    # after the agent has restarted.
    When the same key is posted through both entries at once
    Then both have the same answer and it has run once
    And the key with another body is refused as "conflict"
    And a key that nobody gave out is refused as "invalid"
    When the agent that the key names is stopped
    Then the key is refused as "unavailable" or "outcome_unknown", and has run once
    When the agent that the key names is started again
    Then the key is refused as "outcome_unknown" in the end, and has run once

  Scenario: More requests than the queues take
    # A caller is told "not run" after waiting in vain, though the endpoint ran it.
    # Endpoints take 0.4 seconds for each request; the queues are full.
    When endpoints are slow and 60 callers post at once
    Then some were refused as "not_run" within 2.5 seconds, each with its own Retry-After
    And what they were told is true by the endpoints' records
