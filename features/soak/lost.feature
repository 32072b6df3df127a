Feature: The soak's checks for lost work

  Scenario: The checker reports a connection that ends with a request in hand
    # Guards against a checker that misses a request without an answer at a process that stops.
    Given an entry that is told to stop at 10.0 s and has ended at 12.0 s
    When its connection ends at 12.0 s, 0.5 s after the last byte of a request
    Then the checker reports 1 request that was cut off
    When its connection ends at 12.0 s, 0.1 s after the last byte of a request
    Then the checker reports 0 requests that were cut off
    When another process was killed 2.0 s before that request
    And its connection ends at 12.0 s, 0.5 s after the last byte of a request
    Then the checker reports 0 requests that were cut off

  Scenario: The checker reports a job that is not known at last
    # Guards against a checker that takes a refusal, or silence, for an answer.
    When the last questions for a job are answered 200, 410, 503 and not at all
    Then the checker reports 3 answers, with status 410, 503 and 0

  Scenario Outline: The checker reports a task that waits beside room
    # Guards against a checker that misses a late start, or reports one that has a cause.
    Given 3 workers of 4 cores that are up since 1.0 s
    And a job that runs from 10.0 s to 11.0 s, and then from <start> s, <lasting>
    When <fault>
    Then the checker reports <count> waits of <seconds> s

    Examples:
      | start | lasting     | fault                                                       | count | seconds |
      | 13.9  | not lasting | nothing else happens                                        | 0     | 0.0     |
      | 14.5  | not lasting | nothing else happens                                        | 1     | 3.5     |
      | 14.5  | not lasting | another job uses 7 cores all the while                      | 0     | 0.0     |
      | 14.5  | not lasting | "entry-1" is told to stop at 10.9 s                         | 1     | 3.5     |
      | 14.5  | not lasting | "entry-1" is killed at 10.9 s and back at 11.0 s            | 0     | 0.0     |
      | 18.5  | not lasting | "entry-1" is killed at 10.9 s and back at 11.0 s            | 1     | 3.5     |
      | 14.5  | not lasting | an agent is told to stop at 10.9 s                          | 0     | 0.0     |
      | 14.5  | not lasting | "worker-1" leaves at 10.9 s                                 | 1     | 3.5     |
      | 14.5  | not lasting | all entries are told to stop at 10.9 s                      | 0     | 0.0     |
      | 16.9  | lasting     | nothing else happens                                        | 0     | 0.0     |
      | 17.5  | lasting     | nothing else happens                                        | 1     | 6.5     |

  Scenario: A worker that was paused dates the end of its runs by its lease
    # Guards against two runs at once reported for a run that lapsed while its worker stood still.
    Given a worker that runs a task for 60 s with a lease of 0.5 s
    When the worker is paused for 1.5 s
    Then the record says that the run lapsed 0.5 s after its start
