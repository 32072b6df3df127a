Feature: A process that was paused acts on nothing older than its pause

  A guide's request runs in a zone that operators took out a minute ago. Order: an
  entry and an agent are paused; the zone is taken out; both go on at the same
  moment, and a request comes in. Cause: both still hold the view from before the
  pause, and the entry asks the agent before either has heard of the change.

  Scenario: Entry and agent thaw together after their zone was taken out
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    And every endpoint has answered a request
    And only the endpoints of zone "zilina-a" are left
    When the second entry and the agents of zone "zilina-a" are paused
    And the operator takes availability zone "zilina-a" out
    And they have been paused for 2 seconds
    And the paused processes go on and the second entry gets 30 requests at once
    Then no endpoint in zone "zilina-a" ran any of them

  Scenario: A thawed process that can reach nobody does not trust its view
    Given two entries and two agents in one process, on virtual time
    When agent "agent-3" is cut off and paused for 60 seconds while a zone is taken out
    Then "agent-3" does not trust its view, also after 5 more seconds
    When the cut ends
    Then within 2 seconds "agent-3" trusts its view and has the zone out
