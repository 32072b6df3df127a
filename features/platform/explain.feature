Feature: The timeline of a job from logs alone

  Scenario: The timeline of a job whose leader was killed is in order across processes
    # Guards against a timeline that loses the change of leader, with two logs involved.
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 3 s and then 2 tasks is submitted at the other entry
    And the leader is killed while the first step runs
    And it has ended as "done" at the other entry
    Then its timeline shows, in this order
      | line                      |
      | submissions: Accepted     |
      | leadership: Claimed       |
      | leader: Run adopted       |
      | leader: Run ended         |

  Scenario: The timeline of a late job says how late it was
    # Guards against a late job whose logs do not show that it was late.
    Given a deployment of 2 entries and 1 agent
    When a job of 64 tasks of 1 s and then 2 tasks is submitted at the other entry
    And it has ended as "done" at the other entry
    Then its timeline shows that it ended more than 2 s and less than 15 s after its objective

  Scenario: The timeline says between which lines a job lost time
    # Guards against a late job whose delay can't be attributed to a step.
    Given log lines of a job that waited 1 s, then lost 8 s in a step and 2 s in the next
    Then its timeline shows that it ended 7.0 s after its objective
    And it says first that 8.0 s were lost from "00:00:02" to "00:00:10"
    And it says next that 2.0 s were lost from "00:00:12" to "00:00:16"

  Scenario: A run lost by a worker's restart is distinguished from one without an end
    # Guards against a timeline that does not show that the run's worker restarted.
    Given log lines of two runs that started again, one after its worker began anew
    Then it says that run "a1/0/0/0#1" was lost with its worker
    And it says that run "a1/0/0/1#1" has no end

  Scenario: The timeline shows an outage that began long before the job
    # Guards against a refusal whose timeline lacks the outage that caused it.
    Given log lines of a job refused 9 s after its entry lost the store and a stream
    Then its timeline shows "store: The store does not answer" of "00:00:01"
    And its timeline shows "wire: A stream went silent" of "00:00:09"
    But its timeline shows no line of "00:00:03"

  Scenario: The timeline of a job without an objective shows no lateness
    # Guards against lateness computed from lines that have no objective.
    Given log lines of job "a1" with a truncated line and a line of another program
    Then its timeline shows no objective

  Scenario: Truncated lines and lines of other programs are counted and skipped
    # Guards against an analysis that fails at a line cut off by a crash.
    Given log lines of job "a1" with a truncated line and a line of another program
    Then its timeline has 2 lines of its own and 2 that could not be read
    And it says that run "a1/0/0/0#1" has no end

  Scenario: Log lines behind the columns of a benchmark's output are parsed
    # Guards against lines lost because a collector put columns before the JSON object.
    Given log lines of job "a1" behind columns of time and node
    Then its timeline has 2 lines of its own and 0 that could not be read

  Scenario: A stalled reader of the log does not block the process
    # Guards against requests that block because the reader of the log stalls.
    Given a log whose reader stalls
    When 20000 lines are written
    Then writing took less than 5 s and lines were dropped
    When the reader goes on and 1 line more is written
    Then a line tells how many were dropped
