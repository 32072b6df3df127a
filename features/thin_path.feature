Feature: The path of requests, jobs and configuration through separate processes

  Scenario: A request is served, a job runs, a zone is taken out and brought back
    # Guards against parts that work by themselves and fail as separate processes.
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    When a caller posts "hello" to "/services/booking-core/hold/7?echo=1&seat=12a"
    Then the endpoint's complete answer reaches the caller
    When team "travel-desk" submits a job of 3 tasks of "sleep:0.2"
    Then the job's account shows "finished" with 3 succeeded tasks
    When the operator takes availability zone "zilina-a" out
    Then revision 2 is in force at all 5 processes
    When the operator brings availability zone "zilina-a" back
    Then revision 3 is in force at all 5 processes
