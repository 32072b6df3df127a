Feature: Workers that leave

  Scenario Outline: A worker leaves, and <what>
    # Guards against two runs of a task when a worker runs on after its `leave`, which then counts as its end.
    Given a leader and 3 agents, each on the VM of its worker
    When 6 tasks of 20 s run and a worker of theirs leaves: <what>
    Then each of its tasks runs on another worker within 12 s
    And no task had two runs at the same time

    Examples:
      | what                                                    |
      | it reads the acknowledgement at once                    |
      | it reads the acknowledgement after 0.8 s                |
      | the acknowledgement is lost                             |
      | the message is lost                                     |
      | its agent ends with the acknowledgement on its way      |
      | its agent ends before the acknowledgement has been read |

  Scenario: A worker leaves behind a network, and the acknowledgement is lost
    # Guards against the same where a refused connection does not show the worker's end.
    Given a leader and 3 agents whose workers may carry calls out late
    When 6 tasks of 20 s run and a worker of theirs leaves: the acknowledgement is lost
    Then each of its tasks runs on another worker within 12 s
    And no task had two runs at the same time

  Scenario Outline: A worker at another address of its VM leaves, and <what>
    # Guards against tasks that wait for leases to lapse, or that run twice, where a worker's address is not its agent's.
    Given a leader and 3 agents, each worker at another address of its VM
    When 6 tasks of 20 s run and a worker of theirs leaves: <what>
    Then each of its tasks runs on another worker within <seconds> s
    And no task had two runs at the same time

    Examples:
      | what                                                    | seconds |
      | it reads the acknowledgement at once                    | 2       |
      | it reads the acknowledgement after 0.8 s                | 2       |
      | the acknowledgement is lost                             | 12      |
      | the message is lost                                     | 12      |
      | its agent ends with the acknowledgement on its way      | 12      |
      | its agent ends before the acknowledgement has been read | 12      |

  Scenario: A worker at another address of its VM than the agent's leaves
    # Guards against work that waits for leases to lapse, with room elsewhere, after planned work at such a worker.
    Given a deployment of 1 entry and 2 agents
    When a task of 20 s runs, and its worker leaves and ends at once
    Then the task runs on another worker within 3 s of that end

  Scenario: A heartbeat of a worker arrives after its leave
    # Guards against work that waits for leases to lapse because a worker that has left counts as a new one.
    Given a deployment of 1 entry and 2 agents
    When a task of 20 s runs, and its worker sends a heartbeat after its leave
    Then the task runs on another worker within 3 s of that end

  Scenario: A worker leaves, and its agent is told to stop
    # Guards against work that waits for leases to lapse when a whole VM is taken away by plan.
    Given a deployment of 1 entry and 2 agents
    When a task of 20 s runs, and its worker leaves and ends, and its agent is told to stop
    Then the task runs on another worker within 3 s of that end
    And that agent ends by itself within its grace period

  Scenario: An agent is told to stop while its worker drains, and the worker leaves then
    # Guards against the same where the agent gets its signal before the worker's message.
    Given a deployment of 1 entry and 2 agents
    When a task of 20 s runs, its worker drains, its agent is told to stop, and the worker leaves
    Then the task runs on another worker within 3 s of that end
    And that agent ends by itself within its grace period

  Scenario: Random histories of workers that leave
    # Guards against the same beside late calls, freezes and changes of leader and agent.
    When the random histories 1 to 20 with departures are played
    Then no rule was broken in any of them
