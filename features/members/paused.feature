Feature: A process that was paused acts on nothing older than its pause

  A guide's request runs in a zone that operators took out a minute ago. Order: an
  entry and an agent are paused; the zone is taken out; both go on at the same
  moment, and a request comes in. Cause: both still hold the view from before the
  pause, and the entry asks the agent before either has heard of the change.

  Scenario: Entry and agent thaw together after their zone was taken out
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    And every endpoint has answered a request
    When the second entry and the agents of zone "zilina-a" are paused
    And the operator takes availability zone "zilina-a" out
    And they have been paused for 2 seconds
    And the paused processes go on and the second entry gets 30 requests at once
    Then no endpoint in zone "zilina-a" ran any of them and zone "zilina-b" ran some
