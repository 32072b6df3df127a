Feature: A request is never repeated behind the caller's back

  A caller charges a card once and the endpoint books it twice. Order: the agent's
  kept connection to the endpoint is used once; on the second request the endpoint
  runs it and closes without an answer; the HTTP client library sends it again on a
  new connection by itself. Cause: libcurl repeats on a reused connection.

  Scenario: A charge whose answer is lost runs once and is said to be unknown
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    When each endpoint has answered a charge and then loses the answer to the next
    Then the caller hears "outcome_unknown" and no charge has run twice
