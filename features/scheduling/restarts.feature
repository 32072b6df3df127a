Feature: Lasting tasks that end again and again

  Scenario: The next leader starts a task that was started often
    # Guards against a task that never runs again because its worker refuses run numbers below those of the leader before.
    Given 1 VM of 32 cores
    And job "w" of 1 serving task runs
    And this leader has started it 1200 times more
    When its worker fails each run, and the next leader knows of none of them
    Then the next run of job "w" has a higher number than all before

  Scenario: A task fails at once for a minute
    # Guards against a task that starts many times a second for as long as it fails.
    Given 4 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its runs fail at once for 60 s
    Then it was started at most 24 times
    And no pause between two starts was longer than 6 s

  Scenario: A task has failed at once for more than an hour
    # Guards against a pause whose length can't be calculated any more.
    Given 4 VMs of 32 cores
    And job "w" of 1 serving task runs
    And its last 1100 runs have failed at once
    When its runs fail at once for 30 s
    Then it was started at most 10 times
    And no pause between two starts was longer than 6 s

  Scenario: A task runs well after it has failed often
    # Guards against pauses that stay long after the fault is over.
    Given 4 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its runs fail at once for 20 s
    And its run goes on for 6 s, and then fails
    Then it is started again within 1 s

  Scenario: The leader changes each second while a task fails at once
    # Guards against starts that a worker refuses, because an earlier leader has used their numbers, or that come without a pause.
    Given 4 VMs of 32 cores
    And job "w" of 1 serving task runs
    When its runs fail at once for 60 s, and the leader changes each second
    Then each run has a higher number than all before
    And it was started at most 4 times by each leader
    And no pause between two starts was longer than 6 s

  Scenario Outline: A leader has used all its numbers, and the next one <hears>
    # Guards against a task that never runs again, or that a leader starts under a used number, at the end of a range.
    Given 4 VMs of 32 cores
    And job "w" of 1 serving task runs
    And this leader has started it 1048574 times more
    When its runs fail at once for 20 s, and the leader changes then, and <hears>
    Then each run has a higher number than all before

    Examples:
      | hears                                  |
      | hears of the last run                  |
      | hears that the last run is in progress |

  Scenario: The numbers of the last epoch
    # Guards against numbers that are not exact in JSON, which a list of runs can't be read with.
    Given 4 VMs of 32 cores, and the leader of epoch 2^33
    And job "w" of 1 serving task runs
    When its runs fail at once for 60 s
    Then its workers' lists with these numbers are read
