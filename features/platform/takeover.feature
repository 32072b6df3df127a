Feature: One leader after the other, and at most one run of a task

  Scenario: Two entries see the leader die at the same moment
    # Guards against duplicate runs of a task when several entries claim at once.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies while one entry's calls to the store take 0.1 s more
    And 6 s pass
    Then one claim was made

  Scenario: A leader that has just claimed does not know it yet
    # Guards against a second change of leader while the first claim is unconfirmed.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies, and the answer to the next claim is 0.95 s on its way
    And 6 s pass
    Then one claim was made

  Scenario: A hand-over that comes late
    # Guards against a second change of leader caused by a stale resignation.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader lays down its office, and the word of it reaches one entry late
    And 6 s pass
    Then one claim was made

  Scenario: A leader whose calls are refused has nobody's word
    # Guards against a stale leader that acts on because it counts refusals as consent.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut from the store and, with refusals, from all other entries
    And 3 s pass
    Then the leader may not act any more

  Scenario: Runs end after a leader that may not act
    # Guards against duplicate runs when a stale leader keeps an agent's leases alive.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, in silence
    Then the task ends within 8 s of the leader's last renewal

  Scenario: An order is taken between a report and its answer
    # Guards against duplicate runs when a stale leader's order comes after a report.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop while an order is on its way, and the agent takes it between its report to the next leader and the answer
    Then no task runs in two places in 8 s

  Scenario: A leader and its agent are cut off together, with refusals
    # Guards against duplicate runs when a refused connection passes for a dead leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    Then no task runs in two places in 15 s
    And the task runs elsewhere within 1 s

  Scenario: A leader on a refusal hands over at once
    # Guards against duplicate runs when a second change of leader follows the first.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    And another entry leads
    And that one lays down its office
    Then no task runs in two places in 15 s

  Scenario: A job that both leaders know is started by one
    # Guards against duplicate runs of a new job that a stale leader starts as well.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    And another entry leads
    And a job is stored and the old leader is told of it too
    Then no task runs in two places in 15 s

  Scenario: The store is away for all while one entry is gone
    # Guards against a leader that gives way to entries that don't reach the store either.
    Given 5 entries and 3 agents on virtual time, one of which leads
    And each entry reads the store five times a second
    When another entry is gone in silence, and the store is away for all 1 s later
    Then the leader acts for 1.8 s more, and leads on once the store is back

  Scenario: The store is away for the leader alone while one entry is gone
    # Guards against a leader that keeps its office although others could lead.
    Given 5 entries and 3 agents on virtual time, one of which leads
    When another entry is gone in silence, and the store is away for the leader
    Then another entry leads within 3 s

  Scenario: The store comes back for all, and the others hear of it first
    # Guards against a change of leaders at the end of each outage.
    Given 5 entries and 3 agents on virtual time, one of which leads
    When the store is away for all for 1 s, and comes back as the leader asks for words
    Then the leader has led on 2 s later

  Scenario: Two entries that refuse each other and both reach the store
    # Guards against two entries that depose each other in turn, so that nothing starts.
    Given 2 entries and 1 agents on virtual time, one of which leads
    When the entries are cut from each other, with refusals
    And 10 s pass
    Then no claim was made

  Scenario: A leader of long standing whose port refuses is replaced at once
    # Guards against starts held up by the heartbeat timeout when a leader has exited.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    When the leader dies
    Then another entry leads within 0.6 s

  Scenario: Two entries of which one has led for long refuse each other
    # Guards against leadership that flaps between two entries cut off from each other.
    Given 2 entries and 1 agents on virtual time, one of which leads
    And it has led for long
    When the entries are cut from each other, with refusals
    And 30 s pass
    Then at most one claim was made

  Scenario: An agent that was started again does not go back to the old leader
    # Guards against duplicate runs when a restarted agent follows the stale leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut from the other entries and the store, but not from agents
    And another entry leads
    And an agent that the new leader has heard dies, and asks the old one first
    Then the agent carries out no order of the old leader

  Scenario: A leader is told to stop, its port closes, and an order is on its way
    # Guards against duplicate runs when a stopping leader's last order arrives late.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and its port closes, an order still on its way
    Then no task runs in two places in 8 s

  Scenario: A leader that stops is replaced although its word is lost
    # Guards against starts held up by the heartbeat timeout when a resignation is lost.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and no word of it reaches another entry
    Then another entry leads within 1.5 s

  Scenario: An entry is told to stop while its claim is under way
    # Guards against starts that stall because a stopping entry becomes the leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies, and the answer to the next claim is 0.95 s on its way
    And the entry that claims is told to stop meanwhile
    Then a third entry leads within 2 s

  Scenario: A leader gives up an agent that has gone over to the next leader
    # Guards against duplicate runs when a stale leader expires leases that are renewed.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    And a task runs
    When its agent is out of the leader's touch for 3.9 s
    And then the leader and the free agent are cut off from all others, with refusals
    Then no task runs in two places in 10 s

  Scenario: An agent reports before its worker has told it what runs
    # Guards against duplicate runs when an agent reports before it knows what runs.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When an agent that does not know yet what runs has reported for 2 s
    Then no answer counts for its runs

  Scenario: An entry that was started again gives no word before it knows who leads
    # Guards against a stale leader that acts on by the promise of a restarted entry.
    Given 2 entries and 2 agents on virtual time, one of which leads
    When the other entry is started again, and neither reaches the store
    And 3 s pass
    Then the leader may not act any more

  Scenario: A connection to an earlier life of the leader's process
    # Guards against a change of leader caused by a connection to its past incarnation.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader's VM loses power, and an entry's connection to it looks open
    And the leader's process is back and leads again
    And 2 s pass
    Then one claim was made

  Scenario: A leader that has not read who the others are
    # Guards against an isolated leader that acts on because it knows no other entry.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is started again, leads, and is cut off at once with refusals
    And 3 s pass
    Then the leader may not act any more

  Scenario: Random histories with changes of leaders
    # Guards against duplicate runs, and starts that stall, after faults in any order.
    When 40 random histories with changes of leaders are played
    Then no task ran in two places, and work started again after each
