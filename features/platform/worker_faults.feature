Feature: The whole path while workers fail

  Scenario: A worker carries orders out late
    # Orders get no answer and are carried out seconds later. The agent must close each
    # run before the task is started again.
    Given a deployment of 1 entry and 2 agents
    When worker 1 carries orders out 1.5 s late
    And a job of 8 tasks of 1 s is handed in at entry 1
    And worker 1 answers again once it has started a task
    Then it is shown as "done" at entry 1
    And no task ran twice at the same time

  Scenario: A worker falls silent and runs on
    # A worker is cut off with its tasks. They may start elsewhere only once its leases
    # have run out.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is handed in at entry 1 and runs
    And worker 1 falls silent
    Then all 4 tasks run on worker 2 within 12 s
    And no task ran twice at the same time

  Scenario: A worker that is gone gives up what it ran
    # A worker is killed and never comes back; its port refuses connections. Each try to
    # reach it counted as a renewal of its leases, so that its tasks never ran again.
    Given a deployment of 1 entry and 2 agents
    When a job of 4 tasks of 30 s is handed in at entry 1 and runs
    And worker 1 is killed
    Then all 4 tasks run on worker 2 within 12 s
