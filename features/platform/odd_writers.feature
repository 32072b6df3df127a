Feature: Another writer's values and messages beside real processes

  Scenario: Odd values and odd keys are stored before the processes start
    # Guards against a deployment that never works because of one value under any prefix.
    Given a deployment that starts with odd values and odd keys under each prefix
    When 6 jobs are submitted
    Then all of them are done within 14 s
    When the leader is killed, and 6 jobs are submitted
    Then all of them are done within 14 s
    And no part of any process has crashed

  Scenario: The keys of all processes and the leader's key are rewritten each second
    # Guards against work that stands still, or a list no longer read, while it goes on.
    Given a deployment of 2 entries and 2 agents
    When another writer rewrites the keys of all processes and of the leader each second
    And jobs are submitted for 6 s, and the leader is killed in the middle
    Then all of them are done within 14 s
    And no task has overlapped with itself
    And no part of any process has crashed

  Scenario: Peers send messages with odd fields
    # Guards against a process that ends or stands still because of one peer's message.
    Given a deployment of 2 entries and 2 agents
    When a peer sends each process messages with a field at the ends of its range
    And a peer sends each process frames that nest deeply or end early
    And 6 jobs are submitted
    Then all of them are done within 6 s
    And no part of any process has crashed, and no handler of a call has failed
    When the leader is killed, and 6 jobs are submitted
    Then all of them are done within 6 s

  Scenario Outline: No entry reaches the store for 9 s while <what>
    # Guards against an outage of the store that ends work because of one odd key.
    Given 3 entries and 4 agents on virtual time, one of which leads
    And a task runs
    When another writer has stored odd values under <what>
    And no entry reaches the store for 9 s
    Then no task ran in two places
    And a job that is stored starts within 1 s
    And the epoch is the same

    Examples:
      | what                                  |
      | keys of entries and agents            |
      | the key of the task's agent           |
      | keys of entries, again in the outage  |

  Scenario Outline: A peer announces a leader of epoch <epoch>
    # Guards against entries none of which can claim an epoch after one that nobody led.
    Given 3 entries and 4 agents on virtual time, one of which leads
    When a peer announces a leader of epoch <epoch> to all entries
    And the leader is killed, and a job is stored
    Then the job starts within 9 s
    And no task ran in two places

    Examples:
      | epoch                |
      | 18446744073709551615 |
      | 8589934592           |
      | 2147483648           |
