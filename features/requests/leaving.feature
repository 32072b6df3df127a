Feature: Endpoints and entries that leave

  Background:
    Given two entries and two agents, the first agent behind a link

  Scenario: An endpoint leaves while an entry's connection to it is silent
    # Guards against requests sent to an endpoint that leaves while its link is silent.
    When callers post without pause, the link goes silent and the first agent is stopped
    Then its endpoint has run nothing new 2.5 seconds after the stop began
    And what they were told is true by the endpoints' records
    And every post was answered 200 or refused as "not_run"

  Scenario: An agent is stopped under load
    # Guards against requests that break off when an agent is stopped as planned.
    When callers post without pause, a watcher reads events and the first agent is stopped
    Then the agent exits with 0
    And every post was answered 200
    And what they were told is true by the endpoints' records
    And the watcher has every event once, in order

  Scenario: An entry is stopped under load
    # Guards against connections reset within a request when an entry is stopped.
    When callers post without pause, a watcher reads events and the first entry is stopped
    Then its health check turns red while it still answers
    And a body that was being sent when the stop began is answered 200
    And the entry exits with 0
    And no kept connection was cut within a call
    And every post was answered 200
    And the watcher goes on at the other entry with every event once, in order

  Scenario: An endpoint dies under a watcher
    # Guards against watch events lost when the VM that serves the watcher dies.
    When a watcher reads events and the VM that serves it is killed
    Then the watcher has every event once, in order
