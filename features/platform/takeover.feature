Feature: Leader takeover, with at most one run of each task

  Scenario: Two entries detect at the same time that the leader has exited
    # Guards against duplicate runs of a task when several entries claim at once.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is killed while one entry's calls to the store take 0.1 s longer
    And 6 s pass
    Then one claim was made

  Scenario: A new leader has not yet received the answer to its claim
    # Guards against a second change of leader while the first claim is unconfirmed.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is killed, and the answer to the next claim takes 0.95 s
    And 6 s pass
    Then one claim was made

  Scenario: A hand-over message takes effect late
    # Guards against a second change of leader caused by a stale resignation.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader resigns, and one entry acts on the hand-over late
    And 6 s pass
    Then one claim was made

  Scenario: A leader whose calls are refused receives no promises
    # Guards against a stale leader that acts on because it counts refusals as consent.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut off from the store and, by refusals, from all other entries
    And 3 s pass
    Then the leader may no longer act

  Scenario: Runs end once their leader may no longer act
    # Guards against duplicate runs when a stale leader keeps an agent's leases alive.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut off from everything else, by dropped messages
    Then the task ends within 8 s of the leader's last renewal

  Scenario: An agent receives an order between its report and the answer
    # Guards against duplicate runs when a stale leader's order comes after a report.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop while an order is in transit, and the agent receives it between its report to the next leader and the answer
    Then no task runs in two places in 8 s

  Scenario: A leader and its agent are cut off together by refused connections
    # Guards against duplicate runs when a refused connection passes for a dead leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut off from everything else, by refusals
    Then no task runs in two places in 15 s
    And the task runs elsewhere within 1 s

  Scenario: A leader that has claimed on a refusal hands over at once
    # Guards against duplicate runs when a second change of leader follows the first.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut off from everything else, by refusals
    And another entry leads
    And the new leader resigns
    Then no task runs in two places in 15 s

  Scenario: A job that the old and the new leader know is started by one
    # Guards against duplicate runs of a new job that a stale leader starts as well.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut off from everything else, by refusals
    And another entry leads
    And a job is stored and the old leader is told of it too
    Then no task runs in two places in 15 s

  Scenario: No entry reaches the store while one entry is unreachable
    # Guards against a hand-over to entries that can't reach the store either.
    Given 5 entries and 3 agents on virtual time, one of which leads
    And each entry reads the store five times a second
    When another entry becomes unreachable, and 1 s later no entry reaches the store
    Then the leader acts for another 1.8 s, and still leads once the store is back

  Scenario: Only the leader can't reach the store while one entry is unreachable
    # Guards against a leader that can't write but leads on while others could lead.
    Given 5 entries and 3 agents on virtual time, one of which leads
    When another entry becomes unreachable, and the leader can't reach the store
    Then another entry leads within 3 s

  Scenario: The store comes back, and the other entries notice first
    # Guards against a needless change of leader at the end of each store outage.
    Given 5 entries and 3 agents on virtual time, one of which leads
    When no entry reaches the store for 1 s, and all reach it as the leader asks for promises
    Then the leader still leads in the same term 2 s later

  Scenario: Two entries refuse each other's connections and both reach the store
    # Guards against two entries that replace each other in turn so that nothing starts.
    Given 2 entries and 1 agents on virtual time, one of which leads
    When the entries are cut off from each other, by refusals
    And 10 s pass
    Then no claim was made

  Scenario: A leader that has led for long is replaced at once when its port refuses
    # Guards against starts held up by the heartbeat timeout when a leader has exited.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    When the leader is killed
    Then another entry leads within 0.6 s

  Scenario: Two entries refuse each other's connections, and one has led for long
    # Guards against leadership that flaps between two entries cut off from each other.
    Given 2 entries and 1 agents on virtual time, one of which leads
    And it has led for long
    When the entries are cut off from each other, by refusals
    And 30 s pass
    Then at most one claim was made

  Scenario: A restarted agent does not return to the old leader
    # Guards against duplicate runs when a restarted agent follows the stale leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut off from the other entries and the store, but not from agents
    And another entry leads
    And an agent that follows the new leader restarts and asks the old one first
    Then the agent does not follow the old leader

  Scenario: A leader is told to stop and its port closes while an order is in transit
    # Guards against duplicate runs when a stopping leader's last order arrives late.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and its port closes while an order is in transit
    Then no task runs in two places in 8 s

  Scenario: A leader that stops is replaced although its resignation is lost
    # Guards against starts held up by the heartbeat timeout when a resignation is lost.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and no message from it reaches another entry
    Then another entry leads within 1.5 s

  Scenario: An entry is told to stop while its claim is in progress
    # Guards against starts that stall because a stopping entry becomes the leader.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is killed, and the answer to the next claim takes 0.95 s
    And the entry that claims is told to stop meanwhile
    Then a third entry leads within 2 s

  Scenario: A leader times out an agent that already follows the next leader
    # Guards against duplicate runs when a stale leader expires leases that are renewed.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    And a task runs
    When its agent and the leader are out of contact for 3.9 s
    And then the leader and the idle agent are cut off from all others, by refusals
    Then no task runs in two places in 10 s

  Scenario: An agent reports before it has listed what its worker runs
    # Guards against duplicate runs when an agent reports before it knows what runs.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When an agent that does not know yet what runs has reported for 2 s
    Then no answer extends the leases of its runs

  Scenario: A restarted entry gives no promise before it knows who leads
    # Guards against a stale leader that acts on the promise of a restarted entry.
    Given 2 entries and 2 agents on virtual time, one of which leads
    When the other entry restarts, and neither reaches the store
    And 3 s pass
    Then the leader may no longer act

  Scenario: A connection to an earlier incarnation of the leader's process
    # Guards against a change of leader caused by a connection to its past incarnation.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader's VM loses power, and an entry's connection to it looks open
    And the leader's process restarts and leads again
    And 2 s pass
    Then one claim was made

  Scenario: A leader that has not yet read which other entries exist
    # Guards against an isolated leader that acts on because it knows no other entry.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader restarts, leads, and is cut off at once by refusals
    And 3 s pass
    Then the leader may no longer act

  Scenario: Random histories with changes of leaders
    # Guards against duplicate runs, and starts that stall, after faults in any order.
    When 40 random histories with changes of leaders are played
    Then no task ran in two places, and work started again after each

  Scenario: Random histories with failed runs and changes of leaders
    # Guards against duplicate runs of tasks that start again, and of later steps, while
    # an agent that an earlier leader gave work has not reported.
    When 30 random histories with failed runs and changes of leaders are played
    Then no task ran in two places, and work started again after each
