Feature: The number of a queue's jobs of which no task has started

  Scenario: Starts that get no answer
    # Guards against jobs counted as begun although their starts are in doubt.
    Given 2 VMs of 32 cores
    And 4 jobs of one task each are queued
    When the workers answer no start
    Then 4 jobs are waiting, and 4 are shown as queued
    When the starts in doubt are carried out
    Then 0 jobs are waiting, and 4 are shown as running

  Scenario: Starts that are on their way
    # Guards against jobs counted as begun as soon as their starts are ordered.
    Given 2 VMs of 32 cores
    And 4 jobs of one task each are queued
    When their starts are sent and do not arrive
    Then 4 jobs are waiting, and 4 are shown as queued

  Scenario: Starts that are refused
    # Guards against jobs counted as begun for ever after a refused start.
    Given 2 VMs of 32 cores
    And 4 jobs of one task each are queued
    When each of their starts is refused
    Then 4 jobs are waiting, and 4 are shown as queued
    And no record is written of them

  Scenario: Starts that were never carried out
    # Guards against jobs counted as begun after a start that proved not to have run.
    Given 2 VMs of 32 cores
    And 4 jobs of one task each are queued
    When the workers answer no start
    And the starts in doubt prove not to have run
    Then 4 jobs are waiting, and 4 are shown as queued

  Scenario: Some of the jobs run
    # Guards against a count that ignores which of the jobs have begun.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    Then 2 jobs are waiting, and 2 are shown as running
    And 0 jobs are waiting in another queue

  Scenario: A job whose only run is lost has begun nevertheless
    # Guards against jobs that are shown as running and then as queued again.
    Given 1 VM of 32 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And their workers crash, and refuse starts after that
    Then 0 jobs are waiting, and 4 are shown as running

  Scenario: A run that is listed only when it has ended
    # Guards against a job of a short task that is counted as waiting.
    Given 1 VM of 32 cores
    And 4 jobs of one task each are queued
    When their runs are stopped before the first list, and starts are refused after that
    Then 0 jobs are waiting, and 4 are shown as running

  Scenario: Jobs that have ended
    # Guards against ended jobs that are counted as waiting.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And one of the running jobs succeeds, the other fails, and a waiting one is cancelled
    Then 1 job is waiting

  Scenario: A job that is cancelled before it has begun
    # Guards against a job shown as running although no task of it ever started.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When all of them are cancelled, and that is not stored yet
    Then 0 jobs are waiting, and 4 are shown as queued

  Scenario: A new leader has not heard from all agents
    # Guards against running jobs counted as waiting while agents have not reported.
    Given 2 VMs of 8 cores
    And 5 jobs of one task each are queued
    When their starts are carried out
    And a new leader restores the jobs
    Then the number of waiting jobs is not known
    When all agents but one have reported to it
    Then the number of waiting jobs is not known
    When the last agent has reported to it
    Then 1 job is waiting, and 4 are shown as running

  Scenario: A new leader gives up an agent
    # Guards against a number that stays unknown because an agent is gone.
    Given 2 VMs of 8 cores
    And 4 jobs of one task each are queued
    And the second VM is gone
    When their starts are carried out
    And a new leader restores the jobs
    And all agents but one have reported to it
    Then the number of waiting jobs is not known
    When the new leader has waited until leases have lapsed
    Then 2 jobs are waiting, and 2 are shown as running

  Scenario: A new leader with starts in doubt
    # Guards against jobs counted as begun because an agent reports starts in doubt.
    Given 2 VMs of 32 cores
    And 4 jobs of one task each are queued
    When the workers answer no start
    And a new leader restores the jobs
    And all agents have reported to it
    Then 4 jobs are waiting, and 4 are shown as queued

  Scenario: A new leader learns that a run has ended
    # Guards against jobs stored as not begun, with the progress of their runs.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And a new leader restores the jobs
    And the runs are stopped at a checkpoint, and that is reported and stored
    And a new leader restores the jobs
    And all agents have reported to it
    Then 2 jobs are waiting, and 2 are shown as running

  Scenario: The only run of a job was stopped under an earlier leader
    # Guards against jobs that are queued again because only workers knew of their runs.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And the runs are stopped, and all that is stored and acknowledged
    And a new leader restores the jobs
    And all agents have reported to it
    Then 2 jobs are waiting, and 2 are shown as running

  Scenario: Runs that end several times without progress
    # Guards against a write to the store for each run that ends with nothing to store.
    Given 1 VM of 32 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And the runs are stopped, and all that is stored and acknowledged
    And their starts are carried out
    And the runs are stopped, and all that is stored and acknowledged
    Then the record of each of them was written once

  Scenario: The only run of a job was lost under an earlier leader
    # Guards against jobs that are queued again because no worker lists their runs.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out
    And the workers crash, and that is reported and stored
    And a new leader restores the jobs
    And all agents have reported to it
    Then 2 jobs are waiting, and 2 are shown as running

  Scenario: A run that ended unlisted was given up before its end is listed
    # Guards against jobs that are queued again after an end that changed nothing else.
    Given 1 VM of 8 cores
    And 4 jobs of one task each are queued
    When their starts are carried out, and the agents are silent until leases have lapsed
    And all that lapsed is reported, stored and acknowledged
    And a new leader restores the jobs
    And all agents have reported to it
    Then 2 jobs are waiting, and 2 are shown as running

  Scenario: A stored record of a job that has not begun
    # Guards against a restored job that is counted as begun, or progress as none.
    Then a record without progress restores a waiting job
    And a record of an earlier version with progress restores a job that has begun

  Scenario: Random histories
    # Guards against a count that differs from what workers listed, in any order.
    Then in 400 random histories the number of waiting jobs is right
