Feature: Values in the store that another writer has left

  Scenario Outline: The leader's key holds <value> as the leader ends
    # Guards against entries none of which can lead again because of one stored value.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader's key is overwritten with <value>, and the leader is killed
    And a job is stored
    Then the job starts within 5 s
    And the epoch has risen by 1
    And no task ran in two places

    Examples:
      | value                                |
      | bytes that can't be decoded          |
      | nothing                              |
      | text                                 |
      | 100000 nested lists                  |
      | a last field of 100000 nested lists  |
      | an epoch of 2^63                     |
      | an epoch of 2^40                     |
      | an epoch above all store revisions   |
      | an epoch of -1                       |
      | an epoch of 0                        |
      | an epoch that is true                |
      | port 70000                           |
      | port 0                               |
      | port -1                              |
      | port 2^63                            |
      | a host of 300 letters                |
      | a host name                          |

  Scenario Outline: The leader's key holds <value> while the leader acts
    # Guards against a change of leader, with all that waits for it, because of one value.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader's key is overwritten with <value>
    And 8 s pass
    Then no claim was made
    And the leader's key names the leader again
    And a job that is stored starts within 1 s

    Examples:
      | value                       |
      | bytes that can't be decoded |
      | an epoch of 2^63            |
      | port 70000                  |

  Scenario: The leader's key is overwritten each second
    # Guards against work that stands still for as long as another writer writes.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader's key is filled with bytes that can't be decoded each 1 s for 20 s, and a job is stored each 2 s
    Then each of these jobs started within 2 s
    And no claim was made
    And no task ran in two places

  Scenario: The leader's heartbeat is overwritten each second
    # Guards against a lease that is not renewed because its key has changed.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader's heartbeat is filled with bytes that can't be decoded each 0.5 s for 20 s, and a job is stored each 2 s
    Then each of these jobs started within 2 s
    And no claim was made

  Scenario: Both keys of the leader are overwritten each second, and it is killed
    # Guards against entries that take another writer's values for renewals of the leader.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When the leader is killed, and both of its keys are overwritten each 1 s for 20 s
    Then each of the jobs stored meanwhile started within 5 s
    And the epoch has risen
    And no task ran in two places

  Scenario: Both keys of the leader hold bytes that can't be decoded as it ends
    # Guards against an epoch that goes back, which agents refuse to follow.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When both of the leader's keys are overwritten, and the leader is killed
    And a job is stored
    Then the job starts within 9 s
    And the epoch has risen
    And no task ran in two places

  Scenario: All entries restart after both keys of the leader were overwritten
    # Guards against an epoch that goes back because no process remembers the last one.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When both of the leader's keys are overwritten, and all entries restart
    And a job is stored
    Then the job starts within 9 s
    And the epoch has risen
    And no task ran in two places

  Scenario: The leader's key names a node that is not the one at its address
    # Guards against entries that take a process for the leader which only names it.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When all entries restart as the leader's key names another node at its address
    And a job is stored
    Then the job starts within 9 s
    And no task ran in two places

  Scenario Outline: The leader's key holds <value> before any process starts
    # Guards against a deployment that never starts because of a value of another writer.
    Given a store whose leader's key holds <value>, before 3 entries and 2 agents start
    When a job is stored
    Then the job starts within 6 s
    And the epoch has risen

    Examples:
      | value                       |
      | bytes that can't be decoded |
      | 100000 nested lists         |
      | an epoch of 2^63            |
      | port 70000                  |

  Scenario: The leader's key is overwritten while no entry reaches the store
    # Guards against two leaders: one renews by promises, the other claims over the value.
    Given 3 entries and 4 agents on virtual time, one of which leads
    And a task runs
    When no entry reaches the store for 9 s, and the leader's key is overwritten in the middle
    And 10 s pass
    Then no task ran in two places
    And the leader's key names a leader
    And a job that is stored starts within 1 s

  Scenario: Random histories of odd values in the leader's keys
    # Guards against values that nobody has thought of.
    When 30 random histories of odd values in the leader's keys are played
    Then work went on after each, and no task ran in two places

  Scenario Outline: An agent's key that no leader has written holds <value>
    # Guards against work that waits for the report of an agent that does not exist.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When another writer stores the key of an agent with <value>, and the leader is killed
    And a job is stored
    Then the job starts within 2 s

    Examples:
      | value |
      | bytes that can't be decoded |
      | nothing |
      | text |
      | 100000 nested lists |
      | a last field of 100000 nested lists |
      | port 70000 |
      | port 0 |
      | port -1 |
      | port 2^63 |
      | a host of 300 letters |
      | a host name |
      | an empty host |

  Scenario Outline: An agent's key that no leader has written is written again with <value>
    # Guards against work that waits for an agent that does not exist, as its key has changed.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When another writer writes an agent's key 3 times with <value>, and the leader is killed
    And a job is stored
    Then the job starts within 2 s

    Examples:
      | value |
      | bytes that can't be decoded |
      | nothing |
      | text |
      | port 0 |

  Scenario Outline: The key of an agent is <key>
    # Guards against work that waits for an agent that no process can be named after.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When another writer stores a valid value under the agent's key "<key>", and the leader is killed
    And a job is stored
    Then the job starts within 2 s

    Examples:
      | key     |
      |         |
      | a/b     |
      | A B     |
      | é       |

  Scenario: The key of an agent that runs a task is overwritten
    # Guards against duplicate runs: a new leader must wait for the agent all the same.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the key of the task's agent is overwritten with bytes that can't be decoded
    And the leader is killed, and the task's agent is cut off from everything else
    Then no task runs in two places in 15 s
    And the epoch has risen by 1

  Scenario: The key of an agent that runs a task is overwritten twice, and the store discards its history
    # Guards against duplicate runs: what is left of the history doesn't show the agent's own value.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the key of the task's agent is overwritten with bytes that can't be decoded
    And the store discards its history
    And the key of the task's agent is overwritten with bytes that can't be decoded
    And the leader is killed, and the task's agent is cut off from everything else
    Then no task runs in two places in 15 s
    And the epoch has risen by 1

  Scenario Outline: An entry's key holds <value>
    # Guards against entries that can't claim, or that are not told of, behind one value.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When another writer stores the key of an entry with <value>, and the leader is killed
    And a job is stored
    Then the job starts within 2 s
    And the killed entry is no longer registered 25 s later

    Examples:
      | value |
      | bytes that can't be decoded |
      | nothing |
      | text |
      | 100000 nested lists |
      | a last field of 100000 nested lists |
      | port 70000 |
      | port 0 |
      | port -1 |
      | port 2^63 |
      | a host of 300 letters |
      | a host name |
      | an empty host |

  Scenario: The key of an entry is overwritten as the store fails
    # Guards against two leaders: one renews without the promise of an entry it can't read.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When another entry's key is overwritten, the leader restarts, and no entry but that one reaches the store
    And 15 s pass
    Then at no time two entries could lead

  Scenario: The leader's key is overwritten, and real processes take over
    # Guards against processes whose parts crash for as long as the value is stored.
    Given a deployment of 2 entries and 2 agents
    When another writer overwrites the leader's key, and the leader is killed
    And 6 jobs are submitted
    Then all of them are done within 10 s
    And no part of any process has crashed

  Scenario: Odd keys among the entries and agents, and real processes take over
    # Guards against processes whose parts crash, or that wait, while odd keys are stored.
    Given a deployment of 2 entries and 2 agents
    When another writer stores odd keys of entries and agents, and the leader is killed
    And 6 jobs are submitted
    Then all of them are done within 6 s
    And no part of any process has crashed

  Scenario: Any value is unreadable or within its bounds
    # Guards against values that nobody has thought of, under each prefix.
    Then of 2000 drawn values of each kind none raises an error or is out of bounds
