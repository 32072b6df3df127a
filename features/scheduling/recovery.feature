Feature: A new leader, and agents that come and go

  Scenario: A new leader waits for an agent that may still run a task
    # An agent is cut off together with the old leader. The new one knows the job from
    # the store, but not that it runs there: starting it again would run it twice.
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
    # A VM is emptied and taken away. Its agent stays named in the store; after the next
    # change of leader all restored work would wait for it.
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
    # A job is cancelled and its runs are being stopped when the leader changes. The new
    # one knew no task of it, counted no room for its runs, and filled their cores: the
    # worker was over its capacity until the stops were through.
    Given 1 VM of 8 cores
    And job "a" of 2 tasks runs
    When job "a" is cancelled, and a new leader comes before its stops are through
    And job "b" of 2 tasks with 4 cores comes
    Then job "b" does not run
    When its runs are stopped
    Then job "b" runs

  Scenario: An agent that came back without its worker holds nobody up
    # A worker dies for good while its agent is being restarted. The new process reports,
    # and knows of no worker; its VM's runs counted as going on for ever, and their job
    # was shown as running with nothing at work.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    When its agent reports without a worker for 4 s
    Then no second start is sent
    When its agent reports without a worker for 2 s more
    Then a second start with a higher run is sent

  Scenario: A failure that was stored and is listed again counts once
    # A task fails; the leader stores that and dies before the worker hears of it. The
    # worker lists the end again, and the next leader counted it a second time: with two
    # attempts the job was shown as failed after one failure.
    Given 1 VM of 32 cores
    And job "a" of 1 task with 2 attempts
    When its run fails, and a new leader restores that and hears of the end again
    Then job "a" has not failed, and runs again

  Scenario: A failure that was stored and is listed again is not held against its VM now
    # A sound VM gets no work for seconds after a change of leader. Failures that are long
    # over are listed until they are acknowledged; the new leader took them for new ones,
    # and three in a row for a VM that fails all it starts.
    Given 1 VM of 32 cores
    And job "a" of 1 task with 2 attempts
    When its run fails, and a new leader restores that and hears of the end again
    Then no failure counts against the VM
    And the log tells that the failure was known

  Scenario: An earlier run's end that is listed again frees no task that runs
    # Two runs of a task that lasts go on beside each other. Its first run ends, the next
    # one starts on another VM, and the leader is replaced before the first VM's end is
    # acknowledged. The new leader takes on the later run, then hears of the earlier one's
    # end again: it took the task for waiting and started a third run beside the second.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    And it ends well and runs again on the other VM
    When a new leader hears of the later run first, and then of the earlier one's end
    Then just one run of job "w" goes on, the later one

  Scenario: An earlier run's end that is listed again sets no checkpoint back
    # Work that was saved is done twice. A task's first run is stopped and its next one
    # goes on from there on another VM; after a change of leader the first one's end is
    # listed again, later than the newer checkpoint, and was taken for the newest.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and goes on, on the other VM
    When the later run has reached checkpoint "fifth"
    And a new leader hears of the later run first, and then of the earlier one's end
    And the later run's worker crashes and comes back
    Then job "a" goes on from checkpoint "fifth"

  Scenario: An earlier run's end that is listed again sets no stored checkpoint back
    # The same, but both runs have ended, and of the later one only its record is left.
    Given 2 VMs of 32 cores
    And job "a" of 1 checkpointable task runs
    And it is stopped at checkpoint "third" and goes on, on the other VM
    When the later run is stopped too, at checkpoint "fifth", and that is stored
    And a new leader hears of the earlier run's end only
    Then job "a" goes on from checkpoint "fifth"

  Scenario: A failure that is heard of late is held against the VM that it happened on
    # A task goes back to the VM that failed it. Its first run fails on one VM, the next
    # one goes on on another; the leader is replaced before it stored that. The new one
    # hears of the failure after the later run, and held it against the later run's VM.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a leader that finds nothing of that stored hears of the later run first
    And the later run's worker crashes and comes back
    Then it runs where it has not failed

  Scenario: A failure that is stored and listed again is held against its VM
    # The record tells how often a task failed, not where: the new leader knows of the VM
    # only from the end that is listed again, and passed over it as known.
    Given 2 VMs of 32 cores
    And job "a" of 1 task runs
    And it fails and runs again on the other VM
    When a new leader hears of the earlier run's end only
    Then it runs where it has not failed

  Scenario: A new leader restores progress that an earlier version stored
    # After an upgrade nothing is served. Records of before hold how often a task failed,
    # not which runs; the leader that found one could not read it, ended, and ended again
    # after each restart.
    Given 1 VM of 32 cores
    And a stored job "a" of 1 task with 3 attempts, of which an earlier version counted 2
    When a leader restores it
    Then job "a" has not failed, and runs again
    When its run fails, and is listed to the next leader again
    Then job "a" has failed after 1 start

  Scenario: A failure of a job that recurs is not forgotten where the clock is behind
    # A task fails more often than its queue allows and is started again. It belongs to an
    # occurrence that has begun; by the clock of the next leader's VM it is not due yet,
    # so that its stored failures and checkpoint found no task to go to.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    And its run has failed
    When a leader whose clock is 10 s behind restores it
    And 12 s pass with all agents in touch
    And each run that goes on fails
    Then job "t" has failed after 1 start

  Scenario: A success of a job that recurs is not forgotten where the clock is behind
    # A task that was done runs once more. Its end is listed to a leader that found nothing
    # of it stored and by whose clock the occurrence is not due: the end found no task, was
    # acknowledged, and when the occurrence was due its task was started again.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    And its run has succeeded
    When a leader whose clock is 10 s behind finds nothing of that stored
    And 12 s pass with all agents in touch
    Then the task that has succeeded is not started again

  Scenario: A run of a job that recurs goes on where the clock is behind
    # The same with a task that still runs: it was stopped as not wanted, though well.
    Given 1 VM of 32 cores
    And job "t" of 2 attempts recurs, and its first task runs
    When a leader whose clock is 10 s behind finds nothing of that stored
    Then job "t" runs on and is not started again

  Scenario: Each failure counts once, however often and in whatever order it is listed
    # A job is shown as failed though no task of it failed so often, or is tried again
    # though one did. Ends are listed until they are acknowledged: to one leader after the
    # other, late, twice, in another order, before and after the store has them.
    Then in 300 random orders of listed ends each failure counts once
    And in 120 random histories of leaders no more failures count than there were

  Scenario: An end that one leader hears of under two numbers counts once
    # A job is shown as failed after one failure. An agent that is killed and comes back
    # may count its worker's ends anew: the leader takes the number for that of another.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 2 attempts runs
    And it fails and runs again on the other VM
    When the earlier run's end is listed to the same leader under another number
    Then job "a" has not failed, and runs again

  Scenario: Only failures count as attempts
    # A job is shown as failed though its task never failed: a start that is refused, a
    # stop, a lapse and a lost worker end runs too.
    Given 2 VMs of 32 cores
    And job "a" of 1 task with 1 attempts runs
    When its run is stopped, the next one lapses, and the one after is lost with its worker
    And a start of it is refused
    Then job "a" has not failed, and runs again
