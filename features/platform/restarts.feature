Feature: Restarts of the leader's parts are counted

  Scenario: A part of a leader crashes
    # Guards against a part that crashes again and again without a sign in the metrics.
    Given an entry whose leader's part "entries" crashes each time
    When the entry leads until that part has been started again twice
    Then its metrics count at least 2 restarts, while it leads and after that

  Scenario: Leading fails
    # Guards against an entry that stops leading because of a fault, without a sign in the metrics.
    Given an entry whose leader crashes as it restores
    When the entry leads until that fails
    Then its metrics count 1 restart
