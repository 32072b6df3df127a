Feature: An advice service that takes long

  Scenario Outline: The service takes <decide> s, and <period> s for each worker named
    # Guards against an advised step that never starts because each question is given up too early.
    Given an advice service that takes <decide> s and <period> s for each worker named
    When the leader asks about 30 workers
    Then it gets an answer after <unanswered> questions without one
    And no question takes longer than 64 s

    Examples:
      | decide | period | unanswered |
      | 0.5    | 0.1    | 0          |
      | 1.0    | 0.2    | 1          |
      | 5.0    | 0.5    | 2          |
      | 20.0   | 0.01   | 3          |

  Scenario: A service that was slow for a while
    # Guards against questions about few workers for as long as the leader leads.
    Given an advice service that takes 5.0 s and 0.5 s for each worker named
    When the leader asks about 30 workers
    And the service takes 0.1 s again
    Then questions name 30 workers again after 20 more

  Scenario Outline: The service takes <decide> s for each call, and handles one after the other
    # Guards against a step that never starts because calls that were given up still take their turn at the service.
    Given 2 entries and 4 agents on virtual time, and an advice service that takes <decide> s for each call in turn
    When a job of 4 tasks of an advised queue is stored, and one of another queue
    Then the other job runs within 1 s
    And the advised job runs within <limit> s, each task with a ticket

    Examples:
      | decide | limit |
      | 3.0    | 6     |
      | 6.0    | 36    |
      | 10.0   | 60    |
