Feature: A schedule far overdue, on real processes

  Scenario: A schedule with a million overdue occurrences runs beside other jobs
    # Guards against callers, and checks of readiness, that get no answer because of one accepted schedule.
    Given a deployment of 2 entries and 1 agent
    When a schedule with 1000000 overdue occurrences is submitted, and then 12 jobs
    Then all of these jobs are done within 15 s, and the schedule is cancelled within 3 s
    And both entries were ready at each check, and use less than 300 MB
    And no other entry has claimed leadership

  Scenario: The leader of a schedule with a million overdue occurrences is killed
    # Guards against entries that end one after the other because each of them restores the schedule.
    Given a deployment of 2 entries and 1 agent
    When a schedule with 1000000 overdue occurrences is submitted, and then 12 jobs
    And the leader is killed, and 12 jobs more are submitted
    Then all of these jobs are done within 15 s, and the schedule is cancelled within 3 s
