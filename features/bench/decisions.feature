Feature: What the bench measures, and the decisions it rests on

  Scenario Outline: Bad input names the value and what is allowed
    When the bench is run with "<arguments>"
    Then it ends with code 2 and says "<message>"

    Examples:
      | arguments           | message                                       |
      | --profile bratislava | --profile: got 'bratislava', allowed: tatrastart, verband |
      | --scenario storm    | --scenario: got 'storm', allowed: |
      | --policy luck       | --policy: got 'luck', allowed: |
      | --seconds 1         | --seconds: got 1.0, allowed: 4 to 3600 |
      | --seeds 0           | --seeds: got 0, allowed: 1 to 100 |

  Scenario: The same seed gives the same figures
    When the steady scenario is run twice with seed 7
    Then both runs give the same figures

  Scenario: Least-loaded routing does not feed an endpoint that fails at once
    Story: a guide's page shows errors although nine of ten endpoints are well.
    One endpoint fails every request within a millisecond, so it looks idle, quick
    too; a policy that picks the least loaded sends it ever more.
    When one endpoint fails at once at 0.7 of the capacity
    Then less than 2 of 1000 requests end in an error

  Scenario: A silent connection is shunned before its stream is given up
    Story: for a second after a connection went silent, every request sent into it
    is lost to its deadline, while other endpoints have free slots.
    Nothing has been heard from the endpoint although several requests wait there.
    Given an endpoint with 3 requests in flight and an average latency of 50 ms
    When nothing is heard from it for 0.2 s
    Then it costs more than an endpoint with 6 requests that answered just now

  Scenario: Retries stay within their share at twice the capacity
    When twice the capacity arrives
    Then answers in time reach 0.9 of the capacity
    And retries are less than a tenth of the requests

  Scenario: A harmful job class is throttled, then evicted, then refused
    Story: seat holds take twice their time while a ledger recompute runs beside them.
    The usage lags, so the cause shows only from the next interval on; acting on
    every interval at once would evict harmless neighbours too.
    Given a VM with a service of 100 ms, and no neighbours for 5 intervals
    And tasks of class "index" beside it for 8 intervals
    When tasks of class "ledger" join and double its latency
    Then within 3 intervals only tasks of class "ledger" are throttled
    And within 10 more intervals only tasks of class "ledger" are evicted
    And one more task of class "ledger" is refused
    And one more task of class "index" is taken

  Scenario: Chance alone does not evict
    Given a VM with a service of 100 ms, and no neighbours for 5 intervals
    When 1 of 60 answers an interval is over target for 50 intervals
    Then nothing was throttled or evicted

  Scenario: Reservations follow what a class really takes, and forget
    Given a class that declared 2 cores and used 6 at its peak in 10 tasks
    Then 6 cores are reserved for its next task
    When its next 50 tasks use 1 core
    Then 2 cores are reserved for its next task
    When a task uses 40 cores
    Then at most 10 cores are reserved for its next task
