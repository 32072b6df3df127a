Feature: Jobs run to their end while the store fails

  Scenario: The store is unavailable while a job runs
    # Guards against steps that do not start while the store is unavailable.
    Given a deployment of 2 entries and 2 agents
    When a job of 2 tasks of 1 s and then 2 tasks of 1 s is submitted at entry 1 and runs
    And the store answers no call for 4 s
    Then the second step started during the store outage
    And it is shown as "done" at entry 1
    And each of its 4 tasks was started once

  Scenario: Answers of the store to writes are lost
    # Guards against duplicate jobs, or stalled progress, when write responses are lost.
    Given a deployment of 2 entries and 2 agents
    When the store loses its next 5 answers to writes
    And a job of 3 tasks and then 1 task is submitted at entry 1
    Then it is shown as "done" at entry 2
    And each of its 4 tasks was started once

  Scenario: Many tasks end during a store outage
    # Guards against progress that is never stored because one write is too large.
    Given a deployment of 1 entry and 1 agent
    When 40 jobs of 1 task are submitted while the store rejects writes of records
    Then all of them are shown as "done" at entry 1

  Scenario: The store compacts its history
    # Guards against entries with an old configuration after their watches have failed.
    Given a deployment of 2 entries and 1 agent
    When the store compacts its history
    And the operator adds queue "builds" and removes queue "holds"
    Then within 2 s both entries serve "builds" and answer 404 for "holds"

  Scenario: The store rejects calls of one entry
    # Guards against jobs refused because only their entry can't reach the store.
    Given a deployment of 2 entries and 2 agents
    When the store rejects calls of the entry that does not lead
    And a job of 2 tasks and then 1 task is submitted at that entry
    Then its first submission is accepted
    And it is shown as "done" at the other entry

  Scenario: No process reaches the store
    # Guards against callers kept waiting, and refused jobs that run, in a store outage.
    Given a deployment of 1 entry and 1 agent
    When the store rejects every call
    Then a submission is refused within 1 s, with a time to retry after
    And nothing of it was stored once the store answers again

  Scenario: The store rejects calls of the leader
    # Guards against jobs refused by a former leader that can't read who leads now.
    Given a deployment of 2 entries and 2 agents
    When the store rejects calls of the entry that leads, and the other one becomes leader
    And a job of 2 tasks and then 1 task is submitted at that entry
    Then its first submission is accepted
    And it is shown as "done" at the other entry
