Feature: An agent reports only the checkpoints that the leader does not have

  Scenario: A checkpoint that the leader has received is not sent again
    # Guards against reports that repeat every checkpoint and fill the leader's link.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When it reports to the leader of epoch 7
    Then the report carries 4 checkpoints
    When it reports again
    Then the report carries 0 checkpoints and lists 4 runs
    When one run has a new checkpoint, and the agent reports again
    Then the report carries 1 checkpoint

  Scenario: A report that was not answered is repeated without checkpoints
    # Guards against leases that expire because each report is too large for the link.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When its report to the leader of epoch 7 is lost
    And it reports again
    Then the report carries 0 checkpoints and lists 4 runs
    When it reports again
    Then the report carries 4 checkpoints

  Scenario: A new leader gets all checkpoints
    # Guards against work that is repeated because its checkpoint was not sent again.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When it reports to the leader of epoch 7
    And it reports to the leader of epoch 8
    Then the report carries 4 checkpoints

  Scenario: All ends of a worker's new incarnation are reported
    # Guards against ends that are omitted: end numbers begin again with an incarnation.
    Given an agent with 4 runs that have a checkpoint of 100 bytes each
    When all its runs end as "failed", and it reports to the leader of epoch 7
    And its worker begins a new incarnation, in which 2 runs end as "failed" with 100 bytes
    And it reports again
    Then the report lists 2 ends with a checkpoint

  Scenario: Many large checkpoints are reported in turn
    # Guards against a run whose checkpoint never fits into a report.
    Given an agent with 40 runs that have a checkpoint of 1000 bytes each
    When each run has a new checkpoint every second report, 60 reports long
    Then no report was longer than twice the one before it or 1100 bytes
    And each run's checkpoint was reported 4 times at least

  Scenario: A checkpoint that exceeds the limit of a report
    # Guards against a large checkpoint that is never reported, or delays the others.
    Given an agent with 4 runs that have a checkpoint of 400000 bytes each
    When the agent reports 60 times
    Then each run's checkpoint was reported 1 times at least

  Scenario: The end of a run whose checkpoint does not fit into the report
    # Guards against a task that starts again before the leader has its checkpoint.
    Given an agent with 4 runs that have a checkpoint of 1000 bytes each
    And a leader that has handled its report
    When all its runs end as "stopped"
    And the agent reports until nothing is omitted
    Then after each report a run that is not reported as ended keeps its resources
    And each task continues from its checkpoint
