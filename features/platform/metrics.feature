Feature: The metrics of a process stay bounded

  Scenario: 400 queues are served, and no queue or job becomes a series of the metrics
    # Guards against a process that monitoring turns away for too many time series.
    Given a deployment of 2 entries and 1 agent
    When the operator opens 400 queues
    Then within 5 s both entries serve the last of them
    When a job is handed in, asked for, counted and cancelled at each queue
    Then the metrics of every process name no queue and no job
    And no metric of any process has more than 24 series

  Scenario: Made-up methods of callers become one series of the metrics
    # Guards against callers that add time series by methods of their own.
    Given a deployment of 1 entry and 1 agent
    When a caller sends 400 made-up methods
    Then no metric of any process has more than 24 series
    And the metrics of entry 1 count 400 calls of other methods
