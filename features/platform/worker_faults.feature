Feature: The whole path while workers fail

  Scenario: A worker carries orders out late
    # Guards against duplicate runs when a worker carries out orders late.
    Given a deployment of 1 entry and 2 agents
    When worker 1 carries orders out 1.5 s late
    And a job of 8 tasks of 1 s is handed in at entry 1
    And worker 1 answers again once it has started a task
    Then it is shown as "done" at entry 1
    And no task ran twice at the same time

  Scenario: A worker falls silent and runs on
    # Guards against duplicate runs, or none, when a worker is cut off with its tasks.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is handed in at entry 1 and runs
    And worker 1 falls silent
    Then all 4 tasks run on worker 2 within 12 s
    And no task ran twice at the same time

  Scenario: A worker that is gone gives up what it ran
    # Guards against tasks that never run again after their worker was killed.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is handed in at entry 1 and runs
    And worker 1 is killed
    Then all 4 tasks run on worker 2 within 12 s
