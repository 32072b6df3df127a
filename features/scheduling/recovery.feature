Feature: A new leader, and agents that come and go

  Scenario: A new leader waits for an agent that may still run a task
    # Guards against duplicate runs when a new leader has not heard from an agent yet.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When a new leader restores the book and hears only from the VM that runs nothing
    Then no task of job "a" is started
    When it has waited for as long as runs can go on without a leader
    Then job "a" is started again with a higher run

  Scenario: A new leader takes on what runs
    Given 2 VMs of 32 cores
    And job "a" of 3 tasks runs
    When a new leader restores the book and hears from all agents
    Then no task of job "a" is started

  Scenario: Work of an agent out of touch starts elsewhere only when its leases lapsed
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its agent is not heard of for 4 s
    Then no second start is sent
    When its agent is not heard of for 2 s more
    Then a second start with a higher run is sent

  Scenario: A worker that was born anew runs nothing of before
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its worker crashes and comes back
    Then a second start with a higher run is sent

  Scenario: An agent whose worker has left holds nobody up
    # Guards against restored work that waits for an agent whose VM was removed.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its worker leaves for good
    Then a second start with a higher run is sent
    And the agent may be struck from the store

  Scenario: An end listed before the change of leader counts
    Given 1 VM of 32 cores
    And job "a" of 1 task runs
    When it succeeds, and a new leader hears of it before the store does
    Then job "a" has succeeded without another start

  Scenario: A new leader counts what still runs of a job that has ended
    # Guards against a VM over its capacity when a cancelled job's runs still stop.
    Given 1 VM of 8 cores
    And job "a" of 2 tasks runs
    When job "a" is cancelled, and a new leader comes before its stops are through
    And job "b" of 2 tasks with 4 cores comes
    Then job "b" does not run
    When its runs are stopped
    Then job "b" runs

  Scenario: An agent that came back without its worker holds nobody up
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
    When its run fails, and a new leader restores that and hears of the end again
    Then job "a" has not failed, and runs again

  Scenario: A failure that was stored and is listed again is not held against its VM now
    # Guards against a sound VM quarantined for old failures after a change of leader.
    Given 1 VM of 32 cores
    And job "a" of 1 task with 2 attempts
    When its run fails, and a new leader restores that and hears of the end again
    Then no failure counts against the VM
    And the log tells that the failure was known

  Scenario: An earlier run's end that is listed again frees no task that runs
    # Guards against duplicate runs when the end of an earlier run is listed again.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    And it ends well and runs again on the other VM
    When a new leader hears of the later run first, and then of the earlier one's end
    Then just one run of job "w" goes on, the later one

  Scenario: An earlier run's end that is listed again sets no checkpoint back
    # Guards against saved work done twice when an earlier run's end is listed again.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and goes on, on the other VM
    When the later run has reached checkpoint "fifth"
    And a new leader hears of the later run first, and then of the earlier one's end
    And the later run's worker crashes and comes back
    Then job "a" goes on from checkpoint "fifth"

  Scenario: An earlier run's end that is listed again sets no stored checkpoint back
    # Guards against a stored checkpoint that is replaced by that of an earlier run.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and goes on, on the other VM
    When the later run is stopped too, at checkpoint "fifth", and that is stored
    And a new leader hears of the earlier run's end only
    Then job "a" goes on from checkpoint "fifth"

  Scenario: A failure that is heard of late is held against the VM that it happened on
    # Guards against a task retried on the VM that failed it when the end comes late.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a leader that finds nothing of that stored hears of the later run first
    And the later run's worker crashes and comes back
    Then it runs where it has not failed

  Scenario: A failure that is stored and listed again is held against its VM
    # Guards against a task retried on the VM that failed it after a change of leader.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a new leader hears of the earlier run's end only
    Then it runs where it has not failed

  Scenario: A new leader restores progress that an earlier version stored
    # Guards against a leader that can't start from the records of an earlier version.
    Given 1 VM of 32 cores
    And a stored job "a" of 1 task with 3 attempts, of which an earlier version counted 2
    When a leader restores it
    Then job "a" has not failed, and runs again
    When its run fails, and is listed to the next leader again
    Then job "a" has failed after 1 start

  Scenario: A failure of a job that recurs is not forgotten where the clock is behind
    # Guards against a failure that is forgotten when the next leader's clock is behind.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    And its run has failed
    When a leader whose clock is 10 s behind restores it
    And 12 s pass with all agents in touch
    And each run that goes on fails
    Then job "t" has failed after 1 start

  Scenario: A success of a job that recurs is not forgotten where the clock is behind
    # Guards against a finished task that runs again when the leader's clock is behind.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    And its run has succeeded
    When a leader whose clock is 10 s behind finds nothing of that stored
    And 12 s pass with all agents in touch
    Then the task that has succeeded is not started again

  Scenario: A run of a job that recurs goes on where the clock is behind
    # Guards against a sound run that is stopped when the next leader's clock is behind.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    When a leader whose clock is 10 s behind finds nothing of that stored
    Then job "t" runs on and is not started again

  Scenario: Each failure counts once, however often and in whatever order it is listed
    # Guards against jobs failed early or retried too often by repeated or late reports.
    Then in 300 random orders of listed ends each failure counts once
    And in 120 random histories of leaders no more failures count than there were

  Scenario: An end that one leader hears of under two numbers counts once
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
