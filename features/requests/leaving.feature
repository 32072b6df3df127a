Feature: Endpoints and entries that leave

  Background:
    Given two entries and two agents, the first agent behind a link

  Scenario: An endpoint leaves while an entry's connection to it is silent
    # Customers' requests go on to a machine that is being replaced. Both entries'
    # connections to its agent swallow everything, so they hear nothing over them.
    When callers post without pause, the link goes silent and the first agent is stopped
    Then its endpoint has run nothing new 2.5 seconds after the stop began
    And what they were told is true by the endpoints' records
    And every post was answered 200 or refused as "not_run"

  Scenario: An agent is stopped under load
    # A customer's request breaks off because of a planned replacement. Requests that
    # take 0.3 seconds and a watcher are in flight when the agent is asked to stop.
    When callers post without pause, a watcher reads events and the first agent is stopped
    Then the agent exits with 0
    And every post was answered 200
    And what they were told is true by the endpoints' records
    And the watcher has every event once, in order

  Scenario: An entry is stopped under load
    # A customer's kept connection is reset within a request. The entry is asked to stop
    # while requests and watchers are in flight and one caller still sends its body.
    When callers post without pause, a watcher reads events and the first entry is stopped
    Then its health check turns red while it still answers
    And a body that was being sent when the stop began is answered 200
    And the entry exits with 0
    And no kept connection was cut within a call
    And every post was answered 200
    And the watcher goes on at the other entry with every event once, in order

  Scenario: An endpoint dies under a watcher
    # A guide misses a slipped countdown. The VM that serves the watcher is killed
    # within the stream, the watcher is resumed at another endpoint.
    When a watcher reads events and the VM that serves it is killed
    Then the watcher has every event once, in order
