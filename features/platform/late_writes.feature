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
