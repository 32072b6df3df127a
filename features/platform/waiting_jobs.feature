Feature: Callers ask an entry how many jobs of a queue are waiting

  Scenario: The leader has not restored the jobs
    # Guards against a leader that counts an empty table while it reads the stored jobs.
    Given a leader that waits for the list of 3 stored jobs, with 2 agents
    Then it refuses to count, because it is restoring
    When it has restored the stored jobs and no agent has reported
    Then it refuses to count, because it is restoring
    When both agents have reported and start nothing
    Then it counts 3 waiting jobs

  Scenario: The leader may not act any more
    # Guards against numbers of a leader that was replaced and gets no reports.
    Given a leader that waits for the list of 3 stored jobs, with 2 agents
    When it has restored the stored jobs and no agent has reported
    And both agents have reported and start nothing
    And its lease has run out
    Then it refuses to count, because it is unavailable

  Scenario: An entry that does not lead
    # Guards against an entry that answers with anything but the leader's number.
    Given an entry that does not lead
    When the leader counts 5 waiting jobs
    Then the entry answers 5
    When the leader counts 2 waiting jobs
    Then the entry answers 2

  Scenario: The leader refuses to count
    # Guards against a call that fails although a number that is recent enough is known.
    Given an entry that does not lead
    When the leader counts 5 waiting jobs
    Then the entry answers 5
    When 1.5 s pass, and the leader refuses to count
    Then the entry answers 5
    And the entry does not answer for another queue
    When 0.6 s pass, and the leader refuses to count
    Then the entry does not answer

  Scenario: The leader does not answer
    # Guards against a number that is too old once the wait for the leader is over.
    Given an entry that does not lead
    When the leader counts 5 waiting jobs
    Then the entry answers 5
    When 1 s passes, and the leader does not answer for 0.8 s
    Then the entry answers 5
    When 0.04 s pass, and the leader does not answer for 0.8 s
    Then the entry does not answer

  Scenario: An answer that is older than another arrives after it
    # Guards against a number that seems recent because its answer took long.
    Given an entry that does not lead
    When a count of 5 arrives after a count of 3 that was asked for later
    And the leader refuses to count
    Then the entry answers 3

  Scenario: An entry begins to lead
    # Guards against an entry that counts jobs before its own leader has restored them.
    Given an entry that does not lead
    When the leader counts 5 waiting jobs
    Then the entry answers 5
    When the entry leads and has not restored the jobs
    Then the entry answers 5
    When it has led for 2.1 s without restoring them
    Then the entry does not answer
    When its own leader counts 3 waiting jobs
    Then the entry answers 3

  Scenario: A caller asks for a number that is not known
    # Guards against callers that are not told when to ask again.
    Then a count that is not known is answered 503 with a time to come back
    And a count of 4 is answered 200
