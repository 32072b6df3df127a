Feature: The platform's messages are decoded once, and bad ones harm nobody

  Scenario: A heartbeat is decoded into the product's types
    Then a heartbeat of 16000 thousandths of a core is a worker of 16 cores in rack "r1-3"
    And a heartbeat of an unknown state, of a missing field and of no JSON is refused

  Scenario: A submission is decoded into the product's types
    Then a submission of 2 steps is a job whose second step waits for the first
    And a submission that names a later step, no steps or too many tasks is refused

  Scenario: A list of runs is decoded into the product's types
    Then a serving run listed at 18 ms shows a figure of 0.018 s

  Scenario: 10000 bad bodies at each port are answered, and the rest goes on
    # Guards against requests that fail because other clients send malformed bodies.
    Given a deployment of 1 entry and 1 agent
    When 10000 fuzzed bodies are sent to the port of callers
    And 10000 fuzzed bodies are sent to the port of heartbeats
    Then no answer was a fault of the program
    And a job handed in afterwards is shown as "done"

  Scenario: A connection that is refused is told apart from an answer that is lost
    # Guards against tasks that wait for their leases when a refusal passes for a loss.
    Then a call to a port of this VM that nobody listens at is told as refused
    And a call whose connection breaks before the answer is told as lost
