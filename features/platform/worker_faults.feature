Feature: Jobs run to their end while workers fail

  Scenario: A worker carries out calls late
    # Guards against duplicate runs when a start takes effect after it timed out.
    Given a deployment of 1 entry and 2 agents
    When worker 1 carries out calls 1.5 s late
    And a job of 8 tasks of 1 s is submitted at entry 1
    And worker 1 answers again once it has started a task
    Then it is shown as "done" at entry 1
    And no task ran twice at the same time

  Scenario: A worker stops answering but still runs its tasks
    # Guards against duplicate runs, or none, when a worker with tasks is unreachable.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is submitted at entry 1 and runs
    And worker 1 stops answering
    Then all 4 tasks run on worker 2 within 12 s
    And no task ran twice at the same time

  Scenario: Tasks of a killed worker run on another worker
    # Guards against tasks that never run again after their worker was killed.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is submitted at entry 1 and runs
    And worker 1 is killed
    Then all 4 tasks run on worker 2 within 12 s
