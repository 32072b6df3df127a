Feature: The number of time series in the metrics of a process is bounded

  Scenario: 400 queues are served, and no queue or job has a time series of its own
    # Guards against monitoring that rejects a process for too many time series.
    Given a deployment of 2 entries and 1 agent
    When the operator adds 400 queues
    Then within 5 s both entries serve the last of them
    When a job is submitted, queried, counted and cancelled at each queue
    Then the metrics of every process contain no queue name and no job id
    And no metric of any process has more than 24 series

  Scenario: All unsupported HTTP methods are counted in one time series
    # Guards against callers that add time series by sending made-up methods.
    Given a deployment of 1 entry and 1 agent
    When a caller sends requests with 400 made-up methods
    Then no metric of any process has more than 24 series
    And the metrics of entry 1 count 400 calls of other methods
