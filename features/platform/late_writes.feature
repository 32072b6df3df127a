Feature: Submissions that are cancelled before they are stored

  Scenario: A submission is stored late, after its cancellation was answered
    # Guards against a job that runs although its submitter was told that there is no such job.
    Given a store that carries the write of a submission out late, and two entries
    When the submission gets no answer, and is cancelled at the other entry
    Then the cancellation is answered with "no such job"
    When the write of the submission is carried out
    Then the job is not in the store
    And no leader starts it

  Scenario: A submission is sent again after its cancellation was answered
    # Guards against the same where the caller's network repeats a request.
    Given a store that carries the write of a submission out late, and two entries
    When the submission gets no answer, and is cancelled at the other entry
    And the submission is sent again
    Then it is refused at once as not stored

  Scenario: The store does not answer when a submission in doubt is cancelled
    # Guards against a cancellation that is acknowledged and may be lost.
    Given a store that carries the write of a submission out late, and two entries
    When the submission gets no answer, and is cancelled while the store is silent
    Then the cancellation is not answered

  Scenario: The write is carried out between the look for the job and its cancellation
    # Guards against a cancellation that misses a job stored a moment before.
    Given a store that carries the write of a submission out late, and two entries
    When the submission gets no answer, and is stored while it is being cancelled
    Then the cancellation is answered with "cancelled"
    And no leader starts it

  Scenario Outline: A submission to <first> is cancelled at <second>, stored late, and the leader changes
    # Guards against a job that runs because an entry, or the next leader, knows nothing of its cancellation.
    Given a leader, other entries, and a store that carries the writes of a submission out late
    When a submission to <first> gets no answer, and is cancelled at <second>
    Then the cancellation is answered with "no such job"
    When the next leader has led for <seconds> s, and the writes of the submission are carried out
    Then the job is not in the store
    And neither this leader nor the next one starts it

    Examples:
      | first                         | second                        | seconds |
      | the leader's entry            | an entry that follows it      | 0       |
      | an entry that follows it      | the leader's entry            | 50      |
      | an entry that follows it      | another entry that follows it | 0       |
      | an entry that knows no leader | the leader's entry            | 0       |
      | an entry that follows it      | an entry that knows no leader | 50      |

  Scenario: Old tombstones are removed
    # Guards against a store that fills with cancellations of jobs that never came.
    Given a store that carries the write of a submission out late, and two entries
    When the submission gets no answer, and is cancelled at the other entry
    And a leader has led for 70 s
    Then the store holds no key of the job

  Scenario: The store refuses a submission and does not say why
    # Guards against a job that is accepted, is not in the store, and is answered 410.
    Given a store that refuses a condition, and names no key, 1 time
    When the submission is sent
    Then it is accepted, and in the store
    Given a store that refuses a condition, and names no key, 99 times
    When the submission is sent
    Then it is not known whether it is stored
