Feature: Entries of different sizes

  Scenario: A leader that loses the store has a larger entry further away
    # Guards against starts delayed by a small leader that only happened to answer first.
    Given entries of 2, 0.5, 0.5, 0.5, 2 cores on virtual time, the first of which leads
    And messages between the first and the last entry take 5 ms longer
    When the first entry can't reach the store
    Then entry 5 leads within 3 s

  Scenario: A leader loses the store together with all other large entries
    # Guards against a deployment without a leader because only small entries are left.
    Given entries of 2, 0.5, 0.5, 2 cores on virtual time, the first of which leads
    When the entries 1, 4 can't reach the store
    Then one of the entries 2, 3 leads within 3 s

  Scenario: The only larger entry falls silent as the leader loses the store
    # Guards against a leader that waits for an answer that never comes.
    Given entries of 2, 0.5, 0.5, 2 cores on virtual time, the first of which leads
    When entry 4 is cut off from everything, and the first entry can't reach the store
    Then one of the entries 2, 3 leads within 3 s

  Scenario Outline: Whom a leader without the store waits for
    # Guards against a hand-over that is decided too early, or later than it can help.
    Given a leader without the store, and an answer from an entry of <cores> cores at 0 s
    When entries of <unanswered> cores have not answered after <seconds> s
    Then the successor is <decided>

    Examples:
      | cores | unanswered | seconds | decided     |
      | 0.5   | 2          | 0.1     | not decided |
      | 0.5   | 2          | 0.2     | decided     |
      | 0.5   | 0.5, 0.7   | 0.0     | decided     |
      | 2     | 2, 0.5     | 0.0     | decided     |
