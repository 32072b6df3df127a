Feature: The whole path while the store fails

  Scenario: The store is away while a job runs
    # Guards against steps that do not start while the store is unavailable.
    Given a deployment of 2 entries and 2 agents
    When a job of 2 tasks of 1 s and then 2 tasks of 1 s is handed in at entry 1 and runs
    And the store answers nothing for 4 s
    Then the second step started while the store was away
    And it is shown as "done" at entry 1
    And each of its 4 tasks was started once

  Scenario: Answers of the store are lost
    # Guards against duplicate jobs, or stalled progress, when write responses are lost.
    Given a deployment of 2 entries and 2 agents
    When the store loses its next 5 answers to writes
    And a job of 3 tasks and then 1 task is handed in at entry 1
    Then it is shown as "done" at entry 2
    And each of its 4 tasks was started once

  Scenario: Many ends in one moment
    # Guards against progress that is never stored because one write is too large.
    Given a deployment of 1 entry and 1 agent
    When 40 jobs of 1 task are handed in while the store takes no writes of records
    Then all of them are shown as "done" at entry 1

  Scenario: The store forgets its history
    Given a deployment of 2 entries and 1 agent
    When the store forgets its history
    And the operator opens queue "builds" and closes queue "holds"
    Then within 2 s both entries serve "builds" and answer 404 for "holds"

  Scenario: The store turns one entry away
    # Guards against jobs refused because one entry alone can't reach the store.
    Given a deployment of 2 entries and 2 agents
    When the store turns away the entry that does not lead
    And a job of 2 tasks and then 1 task is handed in at that entry
    Then its first try is accepted
    And it is shown as "done" at the other entry

  Scenario: Nobody reaches the store
    # Guards against callers kept waiting, and refused jobs that run, in a store outage.
    Given a deployment of 1 entry and 1 agent
    When the store refuses every call for a while
    Then a submission is refused within 1 s, with a time to come back
    And nothing of it was stored once the store answers again

  Scenario: The store turns the leader away
    # Guards against jobs refused by a former leader that can't read who leads now.
    Given a deployment of 2 entries and 2 agents
    When the store turns away the entry that leads, and the other one leads
    And a job of 2 tasks and then 1 task is handed in at that entry
    Then its first try is accepted
    And it is shown as "done" at the other entry
