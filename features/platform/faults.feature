Feature: Jobs run to their end when processes are killed or paused

  Scenario: The leader is killed while a job runs
    # Guards against lost ends of tasks, or duplicate runs, when the leader is killed.
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 1 s and then 2 tasks is submitted at the other entry
    And the leader is killed while the first step runs
    Then it is shown as "done" at the other entry
    And each of its 6 tasks was started once, the second step after the first

  Scenario: All processes are killed after a job was accepted
    # Guards against an accepted job that is lost when all machines lose power.
    Given a deployment of 2 entries and 2 agents
    When a job of 3 tasks of 1 s and then 1 task is submitted at entry 1
    And all entries and agents are killed and started again
    Then it is shown as "done" at entry 2
    And no task ran twice at the same time

  Scenario: An agent is killed while its worker runs tasks
    # Guards against tasks that are started again when only their agent was killed.
    Given a deployment of 1 entry and 1 agent
    When a job of 2 tasks of 3 s is submitted at entry 1 and runs
    And the agent is killed and started again
    Then it is shown as "done" at entry 1
    And each of its 2 tasks was started once

  Scenario: The leader is paused and resumes
    # Guards against duplicate runs when a paused leader resumes after its lease.
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 1 s and then 2 tasks is submitted at the other entry
    And the leader is paused for 5 s
    Then it is shown as "done" at the other entry
    And no task ran twice at the same time

  Scenario: The entry with the fastest CPU becomes the leader
    # Guards against work that waits because the leader's machine is too slow.
    Given a deployment of 2 entries, the second 4 times as fast, and 1 agent
    Then entry 2 is the leader
    When the process of entry 2 is killed
    Then entry 1 is the leader
    When the process of entry 2 is started again
    Then entry 2 is the leader
    And a job of 2 tasks submitted at entry 1 is shown as "done"
