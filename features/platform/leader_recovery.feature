Feature: Time without a leader that may act

  Scenario: A leader falls silent without closing its port
    # Guards against urgent jobs that wait out the whole lease of a leader whose VM is gone.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader's VM disappears, and a job is stored 0.1 s later
    Then the job starts within 2.7 s

  Scenario: A silent leader still renews its heartbeat
    # Guards against a change of leader because one entry's probes get lost.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When one entry is cut off from the others, by dropped messages
    And 8 s pass
    Then no claim was made

  Scenario: A silent leader renews its heartbeat through a slow store
    # Guards against a change of leader because heartbeats come late.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When every call to the store takes 0.28 s longer
    And one entry is cut off from the others, by dropped messages
    And 8 s pass
    Then no claim was made

  Scenario: A store outage in which one entry's promise is missing ends
    # Guards against starts held up after the store is back, or refused by the agents.
    Given 5 entries and 6 agents on virtual time, one of which leads
    When another entry becomes unreachable, and no entry reaches the store for 4.1 s
    And a job of 12 tasks is stored as the store comes back
    Then its tasks have started within 0.6 s, and no start was refused

  Scenario: Agents whose leader may not act
    # Guards against a stampede of reports and reads of the store during an outage.
    Given 5 entries and 6 agents on virtual time, one of which leads
    When another entry becomes unreachable, and no entry reaches the store for 6 s
    Then each agent has sent at most 40 reports in that time

  Scenario: An entry is gone for good
    # Guards against an outage that stops all starts for want of the promise of a dead entry.
    Given 5 entries and 2 agents on virtual time, one of which leads
    When another entry becomes unreachable for good
    Then it is no longer registered 9 s after the leader could notice

  Scenario: All machines lose power, and the leader's is the last to come back
    # Guards against entries that wait for a heartbeat that had stopped before they started.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When all processes are killed, and all but the leader are back after 1.1 s
    Then another entry leads within 0.4 s

  Scenario: An entry restarts with a wall clock that is ahead, while the leader leads
    # Guards against a change of leader because a clock jumped.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When another entry restarts with its wall clock 5 s ahead
    And 8 s pass
    Then no claim was made

  Scenario: A leader that only one entry can't reach, and whose wall clock is behind
    # Guards against two leaders: an old heartbeat is no proof that the leader stopped.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader is cut off from the other entries, and its wall clock is 5 s behind
    Then no task runs in two places in 10 s
