Feature: Tasks that fill beside tasks that serve

  Scenario: A filling task that slows a serving one is sent away within a second
    # Guards against users who wait many times as long as they were promised.
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

  Scenario: Unprofiled images start one at a time
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And jobs of filling tasks with 4 images never seen
    When one round has passed
    Then at most 1 filling task runs beside the serving one

  Scenario: A slow VM does not spoil what is known of an image
    # Guards against one VM's fault closing all VMs of a serving image to filling tasks.
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
    # Guards against the largest jobs waiting for ever behind smaller ones.
    Given 1 VM of 32 cores
    And 8 filling tasks with 4 cores run
    And job "late" of 1 filling task of image "build"
    When 2 s have passed in rounds
    Then job "late" runs

  Scenario: Filling tasks use what serving ones leave of their cores
    # Guards against filling tasks that wait for cores which are committed and idle.
    Given 1 VM of 32 cores
    And 5 serving tasks of 6 cores run, at 0.4 of their target
    And a filling task of image "light" is known to slow nobody
    Then 2 more tasks of image "light" are let in

  Scenario: A task that interferes little is not evicted for one that interferes much
    # Guards against all fillers losing their turn for one of them.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.4 of its target
    And filling tasks of images "light" and "heavy" run beside it, and are known
    When the serving task reports 1.5 times its target as long as both run
    Then only the task of image "heavy" is stopped

  Scenario: A paced task works fully again once nobody serves beside it
    # Guards against a run that stays slowed for a serving task which has left.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task without checkpoints of image "heavy" runs beside it
    When the serving task reports 2 times its target for 1 s
    And the serving task's job is cancelled and 2 s pass
    Then the filling task works at full pace

  Scenario: Most of a burst of filling work is done while serving tasks keep their targets
    # Guards against best-effort work that stalls, or missed targets, in a burst.
    Then in a burst beside swinging serving tasks, filling work gets on and targets hold

  Scenario: Pairs that interfere are told from others while the loads of serving jobs swing
    # Guards against slow learning: what a swing adds must not pass for a filling image.
    Given two serving jobs on 4 VMs, with loads that swing in 10 s, each in its own phase
    And one of three filling images adds much beside them, the others next to nothing
    When runs of the filling images come and go on the VMs for 15 s
    Then each filling image is known, and only the one counts as adding much

  Scenario: A slow VM teaches little of a serving job that runs elsewhere too
    # Guards against one VM's fault closing all VMs of a serving job to filling tasks.
    Given two serving jobs on 4 VMs, with loads that swing in 10 s, each in its own phase
    When one VM reports 5 times the load for 3 s
    Then the load expected of both jobs is within 0.15 of their own

  Scenario: A job that will be late does not take what a job in time needs
    # Guards against serving tasks slowed for results that come too late to be of use.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "heavy" is known to add 0.8 on a whole VM
    When two jobs of image "heavy" are handed in, one of which will be late
    Then job "in-time" runs, and job "late" waits
