Feature: Schedules with many overdue occurrences

  Scenario Outline: A schedule with <count> overdue occurrences
    # Guards against a leader that stands still because it begins all that is due at one time.
    Given 1 VM of 32 cores
    And job "s" with <count> overdue occurrences of 1 task
    And another job "a" of 2 tasks with 4 cores
    When 20 rounds pass in which each run succeeds
    Then at no time more than 100 occurrences of job "s" had tasks
    And the occurrences of job "s" started in order, each once
    And job "a" started in the first round

    Examples:
      | count   |
      | 1000    |
      | 100000  |
      | 1000000 |

  Scenario: Occurrences of many tasks are overdue
    # Guards against the same where few occurrences have as many tasks as memory bears.
    Given 1 VM of 32 cores
    And job "s" with 1000 overdue occurrences of 4000 tasks
    When 3 rounds pass in which each run succeeds
    Then at no time more than 2 occurrences of job "s" had tasks

  Scenario Outline: A worker lists <what> of an occurrence far ahead
    # Guards against a leader that stands still because of one number in a worker's list.
    Given 2 VMs of 32 cores
    And job "s" with 100000 overdue occurrences of 1 task
    When a worker lists <what> of its occurrence <occurrence>
    And 3 rounds pass in which each run succeeds
    Then at no time more than 100 occurrences of job "s" had tasks
    And that worker has no ends left to acknowledge

    Examples:
      | what                | occurrence |
      | a run               | 90000      |
      | the success         | 90000      |
      | a run               | 4611686018 |
      | the success         | 4611686018 |

  Scenario Outline: A worker lists <what> of a later occurrence, and its turn comes
    # Guards against an occurrence that runs again, or twice at a time, because it was listed before its turn.
    Given 2 VMs of 32 cores
    And job "s" with 500 overdue occurrences of 1 task
    When a worker lists <what> of its occurrence 350
    And 15 rounds pass in which each run succeeds
    Then the occurrences of job "s" have succeeded, each once
    And that worker has no ends left to acknowledge

    Examples:
      | what                     |
      | the success              |
      | a run that does not stop |

  Scenario: The next leader learns of a success that was listed before its turn
    # Guards against the end of a later occurrence that is acknowledged, and lost with its leader.
    Given 2 VMs of 32 cores
    And job "s" with 500 overdue occurrences of 1 task
    When a worker lists the success of its occurrence 350
    And 2 rounds pass in which each run succeeds
    And a new leader restores job "s" with what is stored of it, and 15 such rounds pass
    Then the occurrences of job "s" have succeeded, each once

  Scenario: The next leader goes on where the one before ended
    # Guards against a record that grows with each occurrence until the store refuses it, and against occurrences run twice.
    Given 1 VM of 32 cores
    And job "s" with 100000 overdue occurrences of 1 task
    When 20 rounds pass in which each run succeeds
    And a new leader restores job "s" from its record, and 20 such rounds pass
    Then the occurrences of job "s" started in order, each once
    And the record of job "s" has less than 2000 bytes

  Scenario: An end of an occurrence that is done is listed again
    # Guards against a task that runs again because its occurrence has no tasks any more.
    Given 1 VM of 32 cores
    And job "s" with 1000 overdue occurrences of 1 task
    When 3 rounds pass in which each run succeeds and no end is acknowledged
    And a new leader restores job "s" from its record, and 3 such rounds pass
    Then the occurrences of job "s" started in order, each once
    And all ends are acknowledged

  Scenario: A schedule that was cancelled is restored
    # Guards against a leader that creates the tasks of a job that it will cancel next.
    Given 1 VM of 32 cores
    When a leader restores job "s" with 100000 overdue occurrences, which was cancelled
    Then no occurrence of job "s" had tasks

  Scenario: Occurrences are counted from 1970 if the schedule names no beginning
    # Guards against occurrences that start before their time.
    Given 1 VM of 32 cores
    And job "s" of 3 occurrences, the last of which is due in 10 s, without a beginning
    When 5 rounds pass in which each run succeeds
    Then job "s" has started 2 times
    When 40 rounds pass in which each run succeeds
    Then job "s" has started 3 times
