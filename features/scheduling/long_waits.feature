Feature: The leader tells what a task waits for although there is room

  Scenario: A worker does not answer
    # Guards against work that stands still behind a silent worker, with no line that says so.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its worker does not answer its agent for 3 s
    Then the leader has said once that a task of job "w" waits: "its run may go on: the worker does not answer its agent"
    And the longest wait for "worker" is 2 s to 4 s

  Scenario: An agent is not heard
    # Guards against the same behind an agent that reports no more.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its agent does not report for 3 s
    Then the leader has said once that a task of job "w" waits: "its run may go on: the agent is not heard"

  Scenario: An agent has not reported to a new leader
    # Guards against the same where an agent is stored that is gone.
    Given 2 VMs of 32 cores
    And a job "w" that an earlier leader may have started
    When rounds go on for 3 s
    Then the leader has said once that a task of job "w" waits: "some agents have not reported to this leader"

  Scenario: A task pauses after it has failed often
    # Guards against a pause after failures that looks like a lost task.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its runs fail at once for 20 s
    Then the leader has said that a task of job "w" waits: "its last runs ended at once"

  Scenario: There is no room
    # Guards against lines for work that waits because all VMs are full.
    Given 1 VM of 32 cores
    And job "w" of 1 serving task runs
    When job "v" of 1 task of 30 cores waits for 5 s
    Then the leader has said nothing of long waits

  Scenario: Other tasks of a job run
    # Guards against lines on each task of a job that makes progress.
    Given 2 VMs of 32 cores
    And a job "w" of 2 tasks, one on each VM
    When its worker does not answer its agent for 3 s
    Then the leader has said nothing of long waits

  Scenario: The worker answers again
    # Guards against a metric that stays high after the wait is over.
    Given 2 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its worker does not answer its agent for 3 s
    And rounds go on for 2 s
    Then there is no longest wait
