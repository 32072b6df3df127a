Feature: A process that was paused does not act on its view from before the pause

  Guards against a request that runs in a zone that was taken out. An entry and an
  agent are paused, the zone is taken out, both resume at the same moment, and a
  request arrives. Both still hold the view from before the pause, and the entry
  calls the agent before either has received the change.

  Scenario: Entry and agents resume together after their zone was taken out
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    And every endpoint has answered a request
    And only the endpoints of zone "zilina-a" still run
    When the second entry and the agents of zone "zilina-a" are paused
    And the operator takes availability zone "zilina-a" out
    And they have been paused for 2 seconds
    And the paused processes resume and the second entry gets 30 requests at once
    Then no endpoint in zone "zilina-a" ran any of them

  Scenario: A resumed process that can reach no peer treats its view as stale
    # Guards against acting on an old view because no update has contradicted it yet.
    Given two entries and two agents in one process, on virtual time
    When agent "agent-3" is partitioned and paused for 60 seconds while a zone is taken out
    Then "agent-3" treats its view as stale, also after 5 more seconds
    When the partition heals
    Then within 2 seconds "agent-3" treats its view as fresh and has the zone out

  Scenario: Requests reach an agent while it is paused
    # Guards against requests that an agent refuses after a pause, although it could run
    # them milliseconds later, once it has heard a peer.
    Given an entry and an agent whose streams may be silent for 10 seconds
    When the agent is paused for 1.5 seconds while 10 requests and a watcher wait for it
    Then each of them was answered 200
