Feature: An agent tells the leader only the checkpoints that it does not know

  Scenario: A checkpoint that was taken in is not sent again
    # Guards against reports that repeat every checkpoint and fill the leader's link.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When it reports to the leader of epoch 7
    Then the report carries 4 checkpoints
    When it reports again
    Then the report carries 0 checkpoints and lists 4 runs
    When one run has a new checkpoint, and the agent reports again
    Then the report carries 1 checkpoint

  Scenario: A report that was not answered is repeated with a smaller load
    # Guards against leases that lapse because a report is too long, again and again.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When its report to the leader of epoch 7 is lost
    And it reports again
    Then the report carries 0 checkpoints and lists 4 runs
    When it reports again
    Then the report carries 4 checkpoints

  Scenario: A new leader is told everything
    # Guards against work that is done twice since its checkpoint is thought to be known.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When it reports to the leader of epoch 7
    And it reports to the leader of epoch 8
    Then the report carries 4 checkpoints

  Scenario: A worker's new life is told from its first end on
    # Guards against ends that pass for known by the count of the life before.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When all its runs end as "failed", and it reports to the leader of epoch 7
    And its worker begins a new life, in which 2 runs end as "failed" with 100 bytes
    And it reports again
    Then the report lists 2 ends with a checkpoint

  Scenario: Many large checkpoints are told in turn
    # Guards against a run whose checkpoint never has a place in a report.
    Given an agent with 40 runs that have a checkpoint of 1000 bytes each
    When each run has a new checkpoint every second report, 60 reports long
    Then no report was longer than twice the one before it or 1100 bytes
    And each run's checkpoint was told 4 times at least

  Scenario: A checkpoint that is larger than any report should be
    # Guards against one large checkpoint that is never told, or keeps back the others.
    Given an agent with 4 runs that have a checkpoint of 400000 bytes each
    When the agent reports 60 times
    Then each run's checkpoint was told 1 times at least

  Scenario: An end whose checkpoint has no room yet
    # Guards against a task that starts again before the leader knows how far it was.
    Given an agent with 4 runs that have a checkpoint of 1000 bytes each
    And a leader that has taken its report
    When all its runs end as "stopped"
    And the agent reports until nothing is left out
    Then after each report a run that is not told to have ended has its room
    And each task goes on from its checkpoint
