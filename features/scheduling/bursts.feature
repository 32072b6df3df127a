Feature: A burst of wide jobs on a large fleet

  Scenario: Tasks of one step share the scores of the VMs
    # Guards against rounds that score each VM for each task and block the leader.
    Given 160 VMs of 32 cores
    When job "wide" of 60 tasks with 4 cores is placed
    Then 60 tasks of job "wide" run
    And its VMs were scored 220 times at most

  Scenario: Shared scores choose the same VMs as scores for each task
    # Guards against shared scores that are stale and choose worse VMs.
    Then in 200 random fleets both choose the same VMs

  Scenario: A round whose time is up leaves the rest to the next round
    # Guards against a leader that is blocked while it places a burst.
    Given 4 VMs of 32 cores
    And 6 jobs of 2 tasks with 4 cores wait
    When a round has time for one job only
    Then 2 tasks run and the round was cut short
    When a round has time for all
    Then 12 tasks run and the round was complete

  Scenario: A step that a round had no time for is placed on a VM that has not changed
    # Guards against work that waits for a change although a VM has had room all along.
    Given 1 VMs of 32 cores
    And job "full" of 1 task with 30 cores runs
    And 3 jobs of 1 tasks with 8 cores wait
    When a round has time for one job only
    And job "full" ends
    And rounds have time for one job only, 3 of them
    Then 3 tasks run and the round was complete

  Scenario: Starts are sent no faster than the leader's link allows
    # Guards against a burst of starts that delays the leader's pings to its agents.
    Given 4 VMs of 32 cores whose leader may send 100000 bytes of starts a second
    And job "old" of 4 tasks with 1 cores runs
    And 5 jobs of 20 tasks with 1 cores wait
    When each start is 1000 bytes long, and orders are sent each 0.02 s
    Then no 0.1 s carried more than 22000 bytes of starts
    And 104 tasks run within 1.5 s

  Scenario: Stops do not wait behind the starts of a burst
    # Guards against cancelled work that runs on while a burst goes out.
    Given 4 VMs of 32 cores whose leader may send 100000 bytes of starts a second
    And job "old" of 4 tasks with 1 cores runs
    And 5 jobs of 20 tasks with 1 cores wait
    When a round is placed, and job "old" is cancelled while starts are held back
    Then the 4 stops are sent at once

  Scenario: A start that is held back is not sent after its job is cancelled
    # Guards against a cancelled job that starts when the link has room again.
    Given 4 VMs of 32 cores whose leader may send 100000 bytes of starts a second
    And 5 jobs of 20 tasks with 1 cores wait
    When a round is placed, and all jobs are cancelled while starts are held back
    Then no start is sent after that, and no run keeps its room

  Scenario: An agent restarts while starts to it are held back
    # Guards against tasks that never start because their orders were dropped.
    Given 4 VMs of 32 cores whose leader may send 100000 bytes of starts a second
    And 5 jobs of 20 tasks with 1 cores wait
    When a round is placed, and all agents restart while starts are held back
    Then all 100 tasks run within 20 rounds

  Scenario: Workers are replaced by others while starts to them are held back
    # Guards against starts on a worker of another size, kind or service than the one they were placed on.
    Given 4 VMs of 32 cores whose leader may send 100000 bytes of starts a second
    And 5 jobs of 20 tasks with 1 cores and label "a" wait
    When a round is placed, and while starts are held back the workers are replaced:
      | worker | cores | kind | service       |
      | vm-1   | 4     | a    | booking-core  |
      | vm-2   | 32    | b    | booking-core  |
      | vm-3   | 32    | a    | travel-search |
      | vm-4   | 32    | a    | booking-core  |
    Then no start broke a rule at its worker within 20 rounds
    And 36 tasks run, 4 of them on worker "vm-1" and 32 on worker "vm-4"

  Scenario: A wide job presses on what serves on half of many small VMs
    # Guards against tasks that stay throttled where they interfere while others have room.
    Given 12 VMs of 16 cores that serve image "quick", and 12 that serve image "calm"
    And an unprofiled filling image adds 3 on a whole VM to "quick", and nothing to "calm"
    When job "wide" of 24 tasks of that image with 2 cores is submitted
    Then within 6 s its 24 tasks run at full pace, and none beside "quick"
    And no serving task was over its target for more than 1 s
