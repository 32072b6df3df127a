Feature: The whole path under faults of processes

  Scenario: The leader is killed while a job runs
    # Guards against ends lost, or tasks run again, when the leader is killed.
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 1 s and then 2 tasks is handed in at the other entry
    And the leader is killed while the first step runs
    Then it is shown as "done" at the other entry
    And each of its 6 tasks was started once, the second step after the first

  Scenario: Everything is killed after a job was accepted
    # Guards against an accepted job that is lost when all machines lose power.
    Given a deployment of 2 entries and 2 agents
    When a job of 3 tasks of 1 s and then 1 task is handed in at entry 1
    And all entries and agents are killed and started again
    Then it is shown as "done" at entry 2
    And no task ran twice at the same time

  Scenario: An agent is killed while its worker runs tasks
    # Guards against tasks started again although only their agent was killed.
    Given a deployment of 1 entry and 1 agent
    When a job of 2 tasks of 3 s is handed in at entry 1 and runs
    And the agent is killed and started again
    Then it is shown as "done" at entry 1
    And each of its 2 tasks was started once

  Scenario: The leader is paused and wakes again
    # Guards against duplicate runs when a paused leader resumes after its lease.
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 1 s and then 2 tasks is handed in at the other entry
    And the leader is paused for 5 s
    Then it is shown as "done" at the other entry
    And no task ran twice at the same time

  Scenario: The entry with most processor time leads
    # Guards against work that waits because the leader's machine is too slow.
    Given a deployment of 2 entries, the second 4 times as fast, and 1 agent
    Then entry 2 is the leader
    When entry 2 loses power
    Then entry 1 is the leader
    When entry 2 has power again
    Then entry 2 is the leader
    And a job of 2 tasks handed in at entry 1 is shown as "done"
