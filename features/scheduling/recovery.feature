Feature: Recovery after a change of leader or the loss of an agent or worker

  Scenario: A new leader waits for an agent that may still run a task
    # Guards against duplicate runs when a new leader has not heard from an agent yet.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When a new leader restores the jobs and gets only the report of the idle VM
    Then no task of job "a" is started
    When it has waited for as long as runs can go on without a leader
    Then job "a" is started again with a higher run

  Scenario: A new leader adopts the runs in progress
    # Guards against duplicate runs after a change of leader.
    Given 2 VMs of 32 cores
    And job "a" of 3 tasks runs
    When a new leader restores the jobs and gets the reports of all agents
    Then no task of job "a" is started

  Scenario: The log tells a run that an earlier list did not show
    # Guards against room and spread that were counted without a run, and no trace of it.
    Given 2 VMs of 32 cores
    And job "a" of 3 tasks runs
    When a new leader restores the jobs and gets the reports of all agents
    And a worker lists a run of job "a" that it did not list before
    Then the log says of 1 adopted run that it was not known since an earlier list

  Scenario Outline: A new leader hears of two runs of a task
    # Guards against an earlier run that goes on beside the later one of its task.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs, and a later run of it on the other VM
    When a new leader hears of the <first> run first
    Then it stops the earlier run, and not the later one

    Examples:
      | first   |
      | earlier |
      | later   |

  Scenario: Tasks of a disconnected agent start elsewhere only after their leases expire
    # Guards against duplicate runs while a disconnected agent still runs a task.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its agent sends no report for 4 s
    Then no second start is sent
    When its agent sends no report for 2 s more
    Then a second start with a higher run is sent

  Scenario: A restarted worker runs nothing from before its restart
    # Guards against a task that never runs again after its worker crashed.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its worker crashes and comes back
    Then a second start with a higher run is sent

  Scenario: An agent whose worker has left delays no task
    # Guards against restored work that waits for an agent whose VM was removed.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its worker leaves for good
    Then a second start with a higher run is sent
    And the agent may be removed from the store

  Scenario: An end listed before the change of leader counts
    # Guards against a finished task that runs again: no leader stored its end.
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When it succeeds, and a new leader gets that report before it is stored
    Then job "a" has succeeded without another start

  Scenario: A new leader counts the runs that remain of a job that has ended
    # Guards against a VM over its capacity while a cancelled job's runs are stopping.
    Given 1 VM of 8 cores
    And job "a" of 2 tasks runs
    When job "a" is cancelled, and a new leader comes before its runs have stopped
    And job "b" of 2 tasks with 4 cores is submitted
    Then job "b" does not run
    When its runs are stopped
    Then job "b" runs

  Scenario: An agent that restarts without its worker delays no task
    # Guards against a job shown as running for ever after its worker died.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its agent reports without a worker for 4 s
    Then no second start is sent
    When its agent reports without a worker for 2 s more
    Then a second start with a higher run is sent

  Scenario: A failure that was stored and is listed again counts once
    # Guards against a job that fails early because one failure is counted twice.
    Given 1 VM of 32 cores
    And job "a" of 1 task with 2 attempts
    When its run fails, and a new leader restores that and gets the end again
    Then job "a" has not failed, and runs again

  Scenario: A failure that was stored and is listed again does not count against its VM
    # Guards against a sound VM quarantined for old failures after a change of leader.
    Given 1 VM of 32 cores
    And job "a" of 1 task with 2 attempts
    When its run fails, and a new leader restores that and gets the end again
    Then no failure counts against the VM
    And the log says that the failure was known

  Scenario: An earlier run's end that is listed again does not requeue a running task
    # Guards against duplicate runs when the end of an earlier run is listed again.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    And it succeeds and runs again on the other VM
    When a new leader learns of the later run first, and then of the earlier one's end
    Then only the later run of job "w" continues

  Scenario: An earlier run's end that is listed again does not revert a checkpoint
    # Guards against repeated work when an earlier run's end is listed again.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and continues on the other VM
    When the later run has reached checkpoint "fifth"
    And a new leader learns of the later run first, and then of the earlier one's end
    And the later run's worker crashes and comes back
    Then job "a" continues from checkpoint "fifth"

  Scenario: An earlier run's end that is listed again does not revert a stored checkpoint
    # Guards against a stored checkpoint that is replaced by that of an earlier run.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and continues on the other VM
    When the later run is stopped too, at checkpoint "fifth", and that is stored
    And a new leader learns of the earlier run's end only
    Then job "a" continues from checkpoint "fifth"

  Scenario: A task does not run again on the VM of a failure that is reported late
    # Guards against a task retried on the VM that failed it when the end comes late.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a leader that finds nothing of that stored learns of the later run first
    And the later run's worker crashes and comes back
    Then it runs where it has not failed

  Scenario: A task does not run again on the VM of a failure that was stored and listed again
    # Guards against a task retried on the VM that failed it after a change of leader.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a new leader learns of the earlier run's end only
    Then it runs where it has not failed

  Scenario: A new leader restores progress that an earlier version stored
    # Guards against a leader that can't start from the records of an earlier version.
    Given 1 VM of 32 cores
    And a stored job "a" of 1 task with 3 attempts, of which an earlier version counted 2
    When a leader restores it
    Then job "a" has not failed, and runs again
    When its run fails, and is listed to the next leader again
    Then job "a" has failed after 1 start

  Scenario: A recurring job's failure is kept when the next leader's clock is behind
    # Guards against a failure forgotten because its occurrence is not due by that clock.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts is recurring, and its first task runs
    And its run has failed
    When a leader whose clock is 10 s behind restores it
    And 12 s pass with all agents connected
    And each run in progress fails
    Then job "t" has failed after 1 start

  Scenario: A recurring job's success is kept when the next leader's clock is behind
    # Guards against a finished task that runs again once it is due by that clock.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts is recurring, and its first task runs
    And its run has succeeded
    When a leader whose clock is 10 s behind finds nothing of that stored
    And 12 s pass with all agents connected
    Then the task that has succeeded is not started again

  Scenario: A recurring job's run continues when the next leader's clock is behind
    # Guards against a sound run that is stopped because it is not yet due by that clock.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts is recurring, and its first task runs
    When a leader whose clock is 10 s behind finds nothing of that stored
    Then job "t" keeps running and is not started again

  Scenario: Each failure counts once, however often and in whatever order it is listed
    # Guards against jobs failed early or retried too often by repeated or late reports.
    Then in 300 random orders of listed ends each failure counts once
    And in 120 random histories of leaders no more failures count than there were

  Scenario: An end that is listed to one leader under two numbers counts once
    # Guards against a job that fails early because one end is listed under two numbers.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 2 attempts runs
    And it fails and runs again on the other VM
    When the earlier run's end is listed to the same leader under another number
    Then job "a" has not failed, and runs again

  Scenario: Only failures count as attempts
    # Guards against a job that fails although its task never failed.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 1 attempts runs
    When its run is stopped, the next one lapses, and the one after is lost with its worker
    And a start of it is refused
    Then job "a" has not failed, and runs again
