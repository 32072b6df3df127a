Feature: A shard's record is larger than one value in the store may be

  Scenario: A snapshot larger than the store's largest value
    Guards against a log that grows without bound because the store refuses each
    snapshot, so that the next owner also has a shard that it can't snapshot. Jobs of
    many tasks with long checkpoints make the snapshot larger than a value may be.
    Given a shard with 2 jobs of 10000 tasks, each with a checkpoint of 100 bytes
    When its owner writes a snapshot
    Then the store holds it in 3 parts or more and no log entry
    And another owner loads the same jobs from it
    And a third job of 10000 tasks is refused as not run
