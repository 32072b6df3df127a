Feature: Filling (best-effort) tasks beside serving (latency-critical) tasks

  Scenario: A filling task that slows a serving one is evicted within a second
    # Guards against serving tasks that stay far over their latency targets.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "heavy" runs beside it
    When the serving task reports 3 times its target for 1 s
    Then the filling task is stopped
    And no other task of image "heavy" is admitted there

  Scenario: More tasks of a filling image that slows nobody are admitted
    # Guards against idle cores because one task of an image keeps out the next.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "light" runs beside it
    When the serving task reports 0.3 of its target for 2 s
    Then 3 more tasks of image "light" are admitted

  Scenario: Filling tasks prefer VMs without serving tasks
    # Guards against serving tasks that are slowed while other VMs are idle.
    Given 2 VMs of 32 cores
    And a serving task runs, at 0.3 of its target
    And job "f" of 4 filling tasks of image "new"
    When some rounds have passed
    Then all of job "f" runs on other VMs than the serving task

  Scenario: Unprofiled images start one at a time
    # Guards against several unknown images that overload a serving task together.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And jobs of filling tasks with 4 unprofiled images
    When one round has passed
    Then at most 1 filling task runs beside the serving one

  Scenario: A slow VM does not distort the estimates of an image
    # Guards against one VM's fault closing all VMs of a serving image to filling tasks.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    When the serving task reports 40 times its target for 3 s
    Then its image's estimated load by itself is at most 0.8

  Scenario: A filling task without checkpoints is throttled instead of evicted
    # Guards against work lost because a run without checkpoints was stopped.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task without checkpoints of image "heavy" runs beside it
    When the serving task reports 2 times its target for 1 s
    Then the filling task is throttled and not stopped

  Scenario: A filling job is not starved while the VMs are not full
    # Guards against large jobs that wait for ever behind smaller ones.
    Given 1 VM of 32 cores
    And 8 filling tasks with 4 cores run
    And job "late" of 1 filling task of image "build"
    When 2 s have passed in rounds
    Then job "late" runs

  Scenario: Filling tasks use the idle cores of serving tasks
    # Guards against filling tasks that wait although committed cores are idle.
    Given 1 VM of 32 cores
    And 5 serving tasks of 6 cores run, at 0.4 of their target
    And a filling task of image "light" is known to slow nobody
    Then 2 more tasks of image "light" are admitted

  Scenario: A task that interferes little is not evicted for one that interferes much
    # Guards against an overload by one filling task that evicts all of them.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.4 of its target
    And filling tasks of images "light" and "heavy" run beside it, and are known
    When the serving task reports 1.5 times its target as long as both run
    Then only the task of image "heavy" is stopped

  Scenario: A throttled task returns to full pace once no serving task is beside it
    # Guards against a run that stays throttled for a serving task that has ended.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task without checkpoints of image "heavy" runs beside it
    When the serving task reports 2 times its target for 1 s
    And the serving task's job is cancelled and 2 s pass
    Then the filling task works at full pace

  Scenario: Most of a burst of filling work is done while serving tasks meet their targets
    # Guards against best-effort work that stalls, or missed targets, in a burst.
    Then in a burst beside varying serving load, filling work progresses and targets hold

  Scenario: Interfering image pairs are identified while the loads of serving jobs vary
    # Guards against slow learning, and load variation attributed to a filling image.
    Given two serving jobs on 4 VMs, with loads that vary in 10 s, each in its own phase
    And one of three filling images adds much beside them, the others next to nothing
    When runs of the filling images come and go on the VMs for 15 s
    Then the estimate of each filling image is known, and only the one adds much

  Scenario: A slow VM hardly changes the estimates of a serving job on several VMs
    # Guards against one VM's fault closing all VMs of a serving job to filling tasks.
    Given two serving jobs on 4 VMs, with loads that vary in 10 s, each in its own phase
    When one VM reports 5 times the load for 3 s
    Then the load expected of both jobs is within 0.15 of their own

  Scenario: A late job does not take the room that a job in time needs
    # Guards against serving tasks slowed for results that are of little use.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "heavy" is known to add 0.8 on a whole VM
    When two jobs of image "heavy" are submitted, one of which will be late
    Then job "in-time" runs, and job "late" waits

  Scenario: A task that could work at a small pace only is moved to where there is room
    # Guards against tasks that hold on to a VM at a small pace while others have room.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And job "large" of 2 filling tasks of image "heavy" runs beside it
    When another VM of 32 cores comes
    And the serving task reports 0.9 of its target for 3 s
    And some rounds have passed
    Then a task of job "large" runs on the other VM, from its checkpoint
    And both tasks of job "large" run

  Scenario: A task is throttled where a move takes as long as it is likely to gain
    # Guards against tasks that are moved in turn and get nothing done.
    Given 1 VM of 32 cores, and moves that take 1.5 s
    And a serving task runs, at 0.3 of its target
    And job "large" of 2 filling tasks of image "heavy" runs beside it
    When another VM of 32 cores comes
    And the serving task reports 0.9 of its target for 3 s
    Then both tasks of job "large" run where they began, throttled

  Scenario: The last run of a job is throttled and not moved
    # Guards against a job that is evicted wherever it starts and makes no progress.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And job "large" of 1 filling tasks of image "heavy" runs beside it
    When another VM of 32 cores comes
    And the serving task reports 0.9 of its target for 3 s
    Then job "large" runs where it began, throttled

  Scenario: A run that is evicted for a serving task works no more while it is stopped
    # Guards against a serving task that stays over its target until a stop is done.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task of image "heavy" runs beside it
    When the serving task reports 3 times its target, and stops take long
    Then the filling task is to be stopped, at pace 0

  Scenario: A new leader does not know the paces that the one before has set
    # Guards against tasks that stay throttled after a change of leader.
    Given 1 VM of 32 cores
    And a serving task runs, at 0.3 of its target
    And a filling task without checkpoints of image "heavy" runs beside it
    When the serving task reports 2 times its target for 1 s
    And another leader takes over, and the serving task's job is cancelled
    Then the filling task works at full pace
