Feature: Graceful shutdown of agents and entries, and the loss of a VM

  Background:
    Given two entries and two agents, the first agent behind a link

  Scenario: An agent is stopped while an entry's connection to it is silent
    # Guards against requests that still start at the endpoint of an agent that leaves,
    # because its announcement does not reach the entry over the silent connection.
    When callers post continuously, the link goes silent and the first agent is stopped
    Then its endpoint has started no request later than 2.5 seconds after the stop
    And what the callers were answered agrees with the endpoints' records
    And every post was answered 200 or refused as "not_run"

  Scenario: An agent is stopped under load
    # Guards against requests that are cut off when an agent is stopped as planned.
    When callers post continuously, a watcher reads events and the first agent is stopped
    Then the agent exits with 0
    And every post was answered 200
    And what the callers were answered agrees with the endpoints' records
    And the watcher has received every event once, in order

  Scenario: An entry is stopped under load
    # Guards against connections that are reset during a request when an entry is
    # stopped.
    When callers post continuously, a watcher reads events and the first entry is stopped
    Then its health check fails while it still answers
    And a body that was being sent when the stop began is answered 200
    And the entry exits with 0
    And no kept-alive connection was closed during a call
    And every post was answered 200
    And the watcher resumes at the other entry and receives every event once, in order

  Scenario: An entry and an agent are told to reload their settings
    # Guards against programs that SIGHUP ends with all that they hold.
    When the first entry and the first agent get SIGHUP
    Then both log that they read their settings only as they start
    And a request is answered 200

  Scenario: The VM that serves a watcher fails
    # Guards against events that a watcher misses when the VM that serves it fails.
    When a watcher reads events and the VM that serves it is killed
    Then the watcher has received every event once, in order
