Feature: Tasks that fill beside tasks that serve

  Scenario: A filling task that slows a serving one is sent away within a second
    # A serving task shares its VM with a filling one whose image presses hard on it.
    # Its users wait five times as long as they were promised.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "heavy" runs beside it
    When the serving task reports 3 times its target for 1 s
    Then the filling task is stopped
    And no other task of image "heavy" is let in there

  Scenario: A filling task that slows nobody is joined by its like
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "light" runs beside it
    When the serving task reports 0.3 of its target for 2 s
    Then 3 more tasks of image "light" are let in

  Scenario: Filling tasks go where nobody serves first
    Given 2 VMs of 32 cores
    And a serving task runs, at 0.3 of its target
    And job "f" of 4 filling tasks of image "new"
    When some rounds have passed
    Then all of job "f" runs away from the serving task

  Scenario: Strangers come one at a time
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And jobs of filling tasks with 4 images never seen
    When one round has passed
    Then at most 1 filling task runs beside the serving one

  Scenario: A slow VM does not spoil what is known of an image
    # A VM turns slow by itself. Its serving tasks are over their target although nobody
    # fills there; were that taken for the image, nothing could fill beside it anywhere.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    When the serving task reports 40 times its target for 3 s
    Then its image is not taken to reach more than 0.8 alone

  Scenario: A slowed task that has no checkpoint is paced, and let on when it is calm
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task without checkpoints of image "heavy" runs beside it
    When the serving task reports 2 times its target for 1 s
    Then the filling task is paced down and not stopped

  Scenario: A job that fills gets its turn while the VMs are not full
    # The largest jobs come last in the order. At the end of a day one of them had
    # nothing running for seconds, while fewer than half of the cores were committed.
    Given 1 VM of 32 cores
    And 8 filling tasks with 4 cores run
    And job "late" of 1 filling task of image "build"
    When 2 s have passed in rounds
    Then job "late" runs
