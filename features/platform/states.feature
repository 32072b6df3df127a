Feature: Callers ask an entry for the state of a job while leader or store are late

  Scenario Outline: Leader and store answer late, and the caller waits for 3 s
    # Guards against a question for an accepted job that is not answered in time.
    Given an entry whose leader gives no answer within <leader> s
    And a store with the job, which answers after <store> s and loses <lost> reads
    When a caller asks for the state and waits for 3 s
    Then it is told "queued" within <limit> s

    Examples:
      | leader | store | lost | limit |
      | 0.01   | 0.01  | 0    | 0.1   |
      | 1.4    | 0.9   | 0    | 1.5   |
      | 1.4    | 0.01  | 0    | 1.0   |
      | 0.01   | 0.01  | 1    | 2.9   |
      | 1.4    | 0.01  | 1    | 2.9   |

  Scenario: The leader answers late, and the store not at all
    # Guards against an answer of the leader that is given up for a store that is away.
    Given an entry whose leader tells "running" after 0.7 s
    And a store with the job, which answers after 0.01 s and loses 9 reads
    When a caller asks for the state and waits for 3 s
    Then it is told "running" within 1.5 s

  Scenario: Nobody answers
    # Guards against a caller that learns nothing, for the answer comes after its deadline.
    Given an entry whose leader gives no answer within 1.4 s
    And a store with the job, which answers after 0.01 s and loses 9 reads
    When a caller asks for the state and waits for 3 s
    Then it is not told a state, within 2.9 s

  Scenario: The store is known to be away
    # Guards against callers that are held although nobody can tell them the state.
    Given an entry whose leader gives no answer within 0.01 s
    And a store with the job, which has been away for 2 s
    When a caller asks for the state and waits for 3 s
    Then it is not told a state, within 1.2 s

  Scenario: A job that is not stored
    # Guards against a caller that is held although there is no such job.
    Given an entry whose leader gives no answer within 1.4 s
    And a store without the job, which answers after 0.01 s and loses 0 reads
    When a caller asks for the state and waits for 3 s
    Then it is told that there is no such job within 1.0 s

  Scenario Outline: The store loses answers while a caller cancels a job
    # Guards against a cancellation that is given up long before its caller's deadline.
    Given an entry whose leader gives no answer within 0.01 s
    And a store <with> the job, which answers after 0.01 s and loses <reads> reads
    And it loses the answers to <writes> writes
    When a caller cancels the job and waits for 3 s
    Then it is told "<answer>" within 2.9 s

    Examples:
      | with    | reads | writes | answer      |
      | with    | 1     | 0      | cancelled   |
      | with    | 0     | 1      | cancelled   |
      | with    | 1     | 1      | cancelled   |
      | without | 1     | 0      | no such job |
      | without | 0     | 1      | no such job |

  Scenario: The store does not answer a caller that cancels a job
    # Guards against a caller that learns nothing, for the answer comes after its deadline.
    Given an entry whose leader gives no answer within 0.01 s
    And a store with the job, which answers after 0.01 s and loses 9 reads
    When a caller cancels the job and waits for 3 s
    Then it is not told a state, within 2.9 s

  Scenario: A caller cancels a job while the store is known to be away
    # Guards against callers that are held although nobody can cancel their jobs.
    Given an entry whose leader gives no answer within 0.01 s
    And a store with the job, which has been away for 2 s
    When a caller cancels the job and waits for 3 s
    Then it is not told a state, within 1.2 s
