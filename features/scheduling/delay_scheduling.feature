Feature: Steps that wait for the rack of their data

  Scenario: A burst of short jobs, most of which name one rack
    # Guards against a burst in which each job has a task elsewhere, and all are late.
    Given 3 racks of 4 VMs with 8 cores, and tasks that take 2 times as long away from their data
    When for 10 s, 8 jobs a second come, of which 0.6 name the first rack
    Then at least 1.15 times as many of these are in time as if no job had waited
    And no fewer of the others

  Scenario: A burst that the rack can take
    # Guards against waits where the rack has room.
    Given 3 racks of 4 VMs with 8 cores, and tasks that take 2 times as long away from their data
    When for 10 s, 2 jobs a second come, of which 0.6 name the first rack
    Then all jobs are in time

  Scenario: The rack is full of tasks that last
    # Guards against a wait for room that nobody will release.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 2 times as long away from their data
    And a job that lasts takes all cores of the first rack
    When a job of 2 tasks names the first rack
    Then its tasks start at once on the second rack

  Scenario: A rack that does not exist
    # Guards against a submission that waits for a rack without VMs.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 2 times as long away from their data
    When a job of 2 tasks names rack "none"
    Then its tasks start at once

  Scenario: A step that is too wide for its rack
    # Guards against a wide step that waits although its last task would be late.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 2 times as long away from their data
    And a job of 8 tasks of 1.2 s runs on the first rack
    When a job of 16 tasks names the first rack
    Then 8 of its tasks start at once on the second rack

  Scenario: The tasks on the rack hang
    # Guards against a wait without end because the rack was expected to have room.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 2 times as long away from their data
    And a job of 8 tasks of 1.2 s runs on the first rack
    When a job of 4 tasks names the first rack
    Then its tasks start within 1.3 s on the second rack, and not at once

  Scenario: The rack's VM fails while a step waits for it
    # Guards against a wait for a VM that is gone.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 2 times as long away from their data
    And a job of 8 tasks of 1.2 s runs on the first rack
    When a job of 4 tasks names the first rack, and the rack's VM drains 0.3 s later
    Then its tasks start within 0.7 s on the second rack, and not at once

  Scenario: The settings state no factor
    # Guards against waits in a deployment whose settings do not ask for them.
    Given 2 racks of 1 VM with 8 cores, and tasks that take 1 times as long away from their data
    And a job of 8 tasks of 1.2 s runs on the first rack
    When a job of 4 tasks names the first rack
    Then its tasks start at once on the second rack
