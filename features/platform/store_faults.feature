Feature: The whole path while the store fails

  Scenario: The store is away while a job runs
    # The store answers nothing for seconds. Steps that became ready must start all the
    # same; the end of the job is shown once it is stored.
    Given a deployment of 2 entries and 2 agents
    When a job of 2 tasks of 1 s and then 2 tasks of 1 s is handed in at entry 1 and runs
    And the store answers nothing for 4 s
    Then the second step started while the store was away
    And it is shown as "done" at entry 1
    And each of its 4 tasks was started once

  Scenario: Answers of the store are lost
    # The store carries writes out and their answers are lost. A submission must still
    # be one job, and no progress may be stuck.
    Given a deployment of 2 entries and 2 agents
    When the store loses its next 5 answers to writes
    And a job of 3 tasks and then 1 task is handed in at entry 1
    Then it is shown as "done" at entry 2
    And each of its 4 tasks was started once

  Scenario: Many ends in one moment
    # More records change at once than fit into one write of the store. A write with too
    # many entries was refused for ever, and no end became durable any more.
    Given a deployment of 1 entry and 1 agent
    When 40 jobs of 1 task are handed in while the store takes no writes of records
    Then all of them are shown as "done" at entry 1

  Scenario: The store forgets its history
    Given a deployment of 2 entries and 1 agent
    When the store forgets its history
    And the operator opens queue "builds" and closes queue "holds"
    Then within 2 s both entries serve "builds" and answer 404 for "holds"

  Scenario: The store turns one entry away
    # The store serves the other entry and the operator, and refuses this one. Its
    # callers were refused for seconds although their jobs could have been stored.
    Given a deployment of 2 entries and 2 agents
    When the store turns away the entry that does not lead
    And a job of 2 tasks and then 1 task is handed in at that entry
    Then its first try is accepted
    And it is shown as "done" at the other entry

  Scenario: Nobody reaches the store
    # A caller who can't be served is told at once when to come back, and what was
    # refused never runs.
    Given a deployment of 1 entry and 1 agent
    When the store refuses every call for a while
    Then a submission is refused within 1 s, with a time to come back
    And nothing of it was stored once the store answers again

  Scenario: The store turns the leader away
    # The leader hands over to an entry that reaches the store, and must learn who leads
    # now although it can't read it: its callers were refused for 9 s on a recorded day.
    Given a deployment of 2 entries and 2 agents
    When the store turns away the entry that leads, and the other one leads
    And a job of 2 tasks and then 1 task is handed in at that entry
    Then its first try is accepted
    And it is shown as "done" at the other entry
