Feature: The story of a job from logs alone

  Scenario: A job whose leader was killed is told in order, across processes
    Given a deployment of 2 entries and 2 agents
    When a job of 4 tasks of 3 s and then 2 tasks is handed in at the other entry
    And the leader is killed while the first step runs
    And it has ended as "done" at the other entry
    Then its story tells, in this order
      | line                      |
      | submissions: Accepted     |
      | leadership: Claimed       |
      | leader: Run adopted       |
      | leader: Run ended         |

  Scenario: Torn and foreign lines are counted and passed over
    Given log lines of job "a1" with a torn line and a foreign line
    Then its story has 2 lines of its own and 2 that could not be read
    And it says that run "a1/0/0/0#1" has no end

  Scenario: Lines in a bench's columns are read
    Given log lines of job "a1" behind columns of time and node
    Then its story has 2 lines of its own and 0 that could not be read

  Scenario: A reader of the log that stalls stops nobody
    # Guards against requests that block because the reader of the log stalls.
    Given a log whose reader stalls
    When 20000 lines are written
    Then writing took less than 5 s and lines were dropped
    When the reader goes on and 1 line more is written
    Then a line tells how many were dropped
