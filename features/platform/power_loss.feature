Feature: Every VM loses power at once

  Scenario: Running tasks continue from checkpoints of shortly before
    # Guards against work that starts again from nothing, because checkpoints of running
    # tasks were stored only when another task of their job ended.
    Given a leader of a job of 10 tasks with 2 cores, none of which ends
    When each task has a new checkpoint every 0.5 s, for 5 s
    And every VM loses power, and the next leader begins
    Then each task starts again from a checkpoint of 1 s before at most

  Scenario: A narrow job does not cost a write for each of its checkpoints
    # Guards against writes that cost more than the work which they save.
    Given a leader of a job of 1 tasks with 0.5 cores, none of which ends
    When each task has a new checkpoint every 0.5 s, for 10 s
    Then its progress was written 2 times at most

  Scenario: Checkpoints are stored at a small share of a slow link
    # Guards against checkpoints that delay pings and answers on the leader's link.
    Given 30 jobs of 20 running tasks with checkpoints of 1000 bytes, and 4 cores a task
    When each has a new checkpoint every 0.5 s, for 20 s, on a link of 625000 bytes a second
    Then the records stored for them are 700000 bytes at most
    And each job was stored at least once

  Scenario: Other entries come back later than the leader and the agents
    # Guards against agents that wait for an entry without power and ask no other one.
    Given 3 entries and 12 agents on virtual time, one of which leads
    When every VM loses power, and the leader, then the agents come back, but no entry
    Then all agents are back at the leader within 0.6 s
