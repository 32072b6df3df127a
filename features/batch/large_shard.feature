Feature: A shard's record outgrows one value of the store

  Scenario: A snapshot larger than the store's largest value
    Jobs of many tasks with long checkpoints fill a shard until its snapshot is larger
    than a value of the store may be. The store refuses the write each time, the log
    grows for ever, and the next owner reads a shard that nobody can snapshot.
    Given a shard with 2 jobs of 10000 tasks, each with a checkpoint of 100 bytes
    When its owner writes a snapshot
    Then the store holds it in 3 parts or more and no log entry
    And another owner loads the same jobs from it
    And a third job of 10000 tasks is refused as not run
