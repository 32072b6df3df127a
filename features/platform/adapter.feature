Feature: Messages of the platform are decoded, and invalid ones cause no failure

  Scenario: A heartbeat is decoded
    # Guards against wrong units, and errors later on when a field has another type.
    Then a heartbeat of 16000 thousandths of a core is decoded to a worker of 16 cores in rack "r1-3"
    And a heartbeat with an unknown state or a missing field, or without JSON, is rejected

  Scenario: A submission is decoded
    # Guards against a job with invalid steps that is stored but can never end.
    Then a submission of 2 steps is decoded to a job whose second step depends on the first
    And a submission that depends on a later step, or has no steps or too many tasks, is rejected

  Scenario: Submissions with fields of any type are decoded
    # Guards against a job that is accepted and that no later leader can restore.
    Then 2000 submissions with fields of any type are refused, or can be restored

  Scenario Outline: A call has an odd deadline
    # Guards against calls that fail without being carried out because of one header.
    Given a deployment of 1 entry and 1 agent
    When a submission has the deadline header <deadline>
    Then that submission is accepted

    Examples:
      | deadline                  |
      | "-1"                      |
      | "²"                       |
      | of 5000 digits            |

  Scenario: A list of runs is decoded
    # Guards against latencies off by a factor of 1000 when milliseconds stay as they are.
    Then a serving run listed with 18 ms is decoded to a value of 0.018 s

  Scenario: 10000 invalid bodies at each port are answered, and jobs still run
    # Guards against requests that fail because other clients send malformed bodies.
    Given a deployment of 1 entry and 1 agent
    When 10000 fuzzed bodies are sent to the port of callers
    And 10000 fuzzed bodies are sent to the port of heartbeats
    Then no answer was an internal error
    And a job submitted afterwards is shown as "done"

  Scenario: A refused connection, a broken one and a lost answer are different outcomes
    # Guards against tasks that wait for their lease to expire after a refused call, and orders to a process that is not known.
    Then a call to a port of this VM without a listener is reported as refused
    And a call whose connection breaks before the answer is reported as broken
    And a call whose kept connection breaks before the answer is reported as broken
    And a call that is not answered in time is reported as lost

  Scenario: A process without a free file descriptor calls a port that listens
    # Guards against a living worker that is taken for one whose process has ended.
    Then a call without a free file descriptor is reported as lost
