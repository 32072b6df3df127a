Feature: What reaches a leader late, or before it knows of it

  Scenario: A leader is told of a job while it restores the book
    # A task that was done runs again. An entry stores a job and tells the leader; the
    # leader before has run a task of it and stored that. The message reaches the next
    # one while it waits for the store's lists: it took the job for a new one, and what
    # was stored of its progress was passed over, and then overwritten.
    Given a job whose first task has succeeded, as an earlier leader stored it
    When a leader is told of the job while it waits for the lists of the store
    And the agents report
    Then the task that has succeeded does not run again
