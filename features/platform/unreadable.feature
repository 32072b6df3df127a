Feature: Stored values that can't be decoded

  Scenario Outline: <what> in the store can't be decoded
    # Guards against leaders that end one after the other because of a single stored value.
    Given a store with 3 jobs, and <what> that can't be decoded
    When a leader begins, and its agents report
    Then the tasks of the 3 jobs run
    And <lines> log line names what is unreadable
    And the store still holds the unreadable value

    Examples:
      | what                      | lines |
      | a job                     | 1     |
      | the record of another job | 1     |
      | an agent                  | 1     |

  Scenario: Operators look for a job that can't be decoded
    # Guards against a job that is held back and can't be found, or found without the reason.
    Given a deployment of 1 entry and 1 agent
    When a job that can't be decoded is written into the store
    Then the leader's metrics count 1 unreadable job
    And the state dump of the leader, and the timeline of the job, tell why it can't be decoded

  Scenario: A later version reads a job that one could not decode
    # Guards against a job that is lost because one version could not read it.
    Given a store with 3 jobs, and a job that can't be decoded
    When a leader begins, and its agents report
    And the job is stored again so that it can be decoded, and the next leader begins
    Then the tasks of the 4 jobs run

  Scenario: A worker runs a task of a job that can't be decoded
    # Guards against a leader that ends because of a report, or that does not tell what runs.
    Given a store with 3 jobs, and a job that can't be decoded
    When a leader begins, and a worker lists a run of that job
    Then the tasks of the 3 jobs run
    And the run of the unreadable job is ordered to stop

  Scenario Outline: Runs of <what> that can't be decoded have ended
    # Guards against a task that runs again although its success, or its failures, were acknowledged.
    Given a store with 3 jobs, and <what> that can't be decoded
    When a leader begins, and a worker lists that runs of that job <how>
    Then these ends are acknowledged
    When the job is stored again so that it can be decoded, and the next leader begins
    Then no task of that job runs, and it has <state>

    Examples:
      | what                      | how          | state     |
      | a job                     | succeeded    | succeeded |
      | a job                     | failed twice | failed    |
      | the record of another job | succeeded    | succeeded |

  Scenario: Two leaders learn of ends of a job that can't be decoded
    # Guards against ends that the next leader overwrites, or stores in place of the earlier ones.
    Given a store with 3 jobs, and a job that can't be decoded
    When a leader begins, and a worker lists that runs of that job failed
    And the next leader begins, and a worker lists that runs of that job failed
    Then these ends are acknowledged
    When the job is stored again so that it can be decoded, and the next leader begins
    Then no task of that job runs, and it has failed

  Scenario Outline: A job under an id whose earlier job had ends of later occurrences
    # Guards against accepted work that is passed over because a deleted job's task had succeeded.
    Given a store with a schedule
    When a leader begins, and a worker lists the success of its occurrence 120
    And the schedule is cancelled, its time is over, and it is deleted <how>
    And a schedule is stored under the same id
    Then its occurrences run until 130 are done, and also that one

    Examples:
      | how                           |
      | and the store answers         |
      | and the store does not answer |

  Scenario: Ends of a job that can't be decoded are not stored yet
    # Guards against an end that is acknowledged, and lost with its leader.
    Given a store with 3 jobs, and a job that can't be decoded
    When the store answers no write
    And a leader begins, and a worker lists that runs of that job succeeded
    Then these ends are not acknowledged
    When the store answers writes again
    Then these ends are acknowledged

  Scenario: Ends of a job that can't be decoded while records of other jobs change all the time
    # Guards against a worker none of whose ends are acknowledged for as long as others are busy.
    Given a store with 3 jobs, and a job that can't be decoded
    And a leader whose store takes 0.02 s for a write, while a record changes each 0.01 s
    When a worker lists that a run of that job succeeded
    Then the ends are stored within 1 s

  Scenario: Another leader has claimed when ends of a job that can't be decoded are to be stored
    # Guards against a leader that writes again and again, at a price, what the store will never take.
    Given a store with 3 jobs, and a job that can't be decoded
    When a leader begins, and its agents report
    And another entry has claimed, and a worker lists that a run of that job succeeded
    Then the leader steps down after 1 such write
    And these ends are not acknowledged

  Scenario: The stored ends of a job that can't be decoded are unreadable themselves
    # Guards against a task that runs again because the note of its success is passed over.
    Given a store with 3 jobs, and the stored ends of another job that can't be decoded
    When a leader begins, and its agents report
    Then the tasks of the 3 jobs run
    And the store still holds the unreadable value

  Scenario: More ends of a job that can't be decoded than one value of the store holds
    # Guards against a worker whose ends are never acknowledged because one value is too large.
    Given a store with 3 jobs, and a job that can't be decoded
    And a store that takes values of 300 bytes
    When a leader begins, and a worker lists 20 long checkpoints of that job
    Then these ends are acknowledged

  Scenario: The state of a job whose record can't be decoded
    # Guards against an internal error, or a wrong state, in place of "not known".
    Given an entry that reaches no leader, and a store with such a record
    Then the state of that job is not answered

  Scenario Outline: <what> has <odd>
    # Guards against a leader that ends, or works without end, because of one value.
    Given a store with 3 jobs, and <what> with <odd>
    When a leader begins, and its agents report
    Then the tasks of the 3 jobs run
    And 1 log line names what is unreadable

    Examples: jobs
      | what  | odd                              |
      | a job | another id than its key          |
      | a job | no steps                         |
      | a job | a step of 10^15 tasks            |
      | a job | a step of -1 tasks               |
      | a job | a step that depends on itself    |
      | a job | a stretch that is infinite       |
      | a job | an estimate that is no number    |
      | a job | -1 occurrences                   |
      | a job | cores that are no number         |
      | a job | 100000 nested lists              |

    Examples: records
      | what                      | odd                                 |
      | the record of another job | a step that does not exist          |
      | the record of another job | a position that does not exist      |
      | the record of another job | a position that is named twice      |
      | the record of another job | a step that is named twice          |
      | the record of another job | 10^15 occurrences done              |
      | the record of another job | a task of occurrence 10^15          |
      | the record of another job | a task at position -1               |
      | the record of another job | 10^15 failed runs                   |
      | the record of another job | a run of number 2^63                |
      | the record of another job | an end at no number                 |

  Scenario: What was learnt has numbers that are not finite
    # Guards against weights that make all comparisons of a scheduler false.
    Then learnt interference with such numbers is passed over

  Scenario: What was learnt has numbers at the ends of their ranges
    # Guards against leaders whose rounds end again and again because of one stored value.
    Then a leader that takes over any such run times predicts finite ones
    And one that takes over any such interference learns from reports

  Scenario Outline: A job is due <times> times at an interval of <interval> s
    # Guards against leaders that end one after the other because of one accepted job.
    Given a store with 3 jobs, and a job due <times> times each <interval> s from <first>
    When a leader begins, and its agents report
    Then the tasks of the 3 jobs run, and <due> times those of the other

    Examples:
      | times | interval | first         | due |
      | 2     | 1e-310   | 0             | 2   |
      | 2     | 1e-310   | 1800000001    | 0   |
      | 2     | 1        | 1800000000    | 1   |
