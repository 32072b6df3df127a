Feature: The bench's commands, and the routing and batch decisions it measures

  Scenario Outline: An invalid option is reported with its value and the allowed ones
    When the bench is run with "<arguments>"
    Then it ends with code 2 and says "<message>"

    Examples:
      | arguments           | message                                       |
      | --profile bratislava | --profile: got 'bratislava', allowed: tatrastart, verband |
      | --scenario storm    | --scenario: got 'storm', allowed: |
      | --policy luck       | --policy: got 'luck', allowed: |
      | --seconds 1         | --seconds: got 1.0, allowed: 4 to 3600 |
      | --seeds 0           | --seeds: got 0, allowed: 1 to 100 |

  Scenario: Two runs with the same seed give the same measures
    # Guards against state outside the seed, which would make policies incomparable.
    When the steady scenario is run twice with seed 7
    Then both runs give the same measures

  Scenario: Least-loaded routing does not prefer an endpoint that fails at once
    # Guards against errors for callers although nine of ten endpoints are healthy. One
    # endpoint fails every request within a millisecond, so it looks idle and fast, and
    # a policy that picks the least loaded endpoint sends it more and more requests.
    When one endpoint fails every request at once under a load of 0.7 of the capacity
    Then less than 2 of 1000 requests end in an error

  Scenario: Requests avoid a silent connection before its stream is closed
    # Guards against requests lost on a silent connection while other endpoints have
    # free slots: it is closed only after a second, and until then each request sent on
    # it waits to its deadline. The sign is silence while several requests are in flight.
    Given an endpoint with 3 requests in flight and an average latency of 50 ms
    When nothing is received from it for 0.2 s
    Then its cost is higher than that of one with 6 requests that has just answered

  Scenario: At twice the capacity, retries stay below their limit
    # Guards against retries that amplify an overload until few answers are in time.
    When twice the capacity arrives
    Then answers in time reach 0.9 of the capacity
    And retries are less than a tenth of the requests

  Scenario: A job class that slows a service is throttled, then evicted, then refused
    # Guards against evicting harmless neighbours of a service whose latency doubles
    # while a ledger job runs on its VM. Usage is reported late, so the cause is visible
    # only from the next interval on; acting on every interval at once would evict
    # harmless neighbours too.
    Given a VM with a service of 100 ms, and no neighbours for 5 intervals
    And tasks of class "index" beside it for 8 intervals
    When tasks of class "ledger" join and double its latency
    Then within 3 intervals only tasks of class "ledger" are throttled
    And within 10 more intervals only tasks of class "ledger" are evicted
    And one more task of class "ledger" is refused
    And one more task of class "index" is accepted

  Scenario: Random late answers alone cause no throttling or eviction
    # Guards against taking the few late answers of a healthy service for interference.
    Given a VM with a service of 100 ms, and no neighbours for 5 intervals
    When 1 of 60 answers an interval is over target for 50 intervals
    Then nothing was throttled or evicted

  Scenario: Reservations follow the measured usage of a class, and old samples expire
    # Guards against declared sizes that overload a VM, and against a lasting effect of
    # one large task.
    Given a class that declared 2 cores and used 6 at its peak in 10 tasks
    Then 6 cores are reserved for its next task
    When its next 50 tasks use 1 core
    Then 2 cores are reserved for its next task
    When a task uses 40 cores
    Then at most 10 cores are reserved for its next task
