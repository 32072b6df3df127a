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

  Scenario: The state of a job whose record can't be decoded
    # Guards against an internal error, or a wrong state, in place of "not known".
    Given an entry that reaches no leader, and a store with such a record
    Then the state of that job is not answered
