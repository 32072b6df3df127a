Feature: A task never runs twice in a model of leader takeover

  Guards against duplicate runs of a task after a change of leader: the previous leader
  was cut off, refused connections, was killed or told to stop, and the new one takes a
  run for ended that still holds a lease. The new leader must derive its view from the
  latest leases that agents and workers may have been granted. The model has entries,
  agents, workers, a store and a network that delays, loses and refuses messages; a
  breadth-first search visits its states.

  Scenario Outline: Without the rule "<rule>" a task runs twice
    # Guards against a model too coarse to show why a rule of the protocol is needed.
    When the model is explored without the rule <rule>
    Then a history in which the task runs twice is found and printed

    Examples: rules that safety depends on
      | rule               |
      | CLAIM_BOUND        |
      | REFUSAL_NO_WORD    |
      | IDLE_MOVES_NOTHING |
      | REPORT_EPOCH       |
      | RIVALS_ON_REFUSAL  |
      | FRESH_READS        |
      | FENCE              |
      | RIVALS_HANDED_ON   |
      | PROMISE_COUNTS     |
      | JOBS_LISTED_AGAIN  |
      | GIVE_UP_RENEWED    |
      | UNLISTED_HOLDS     |
      | WORD_READS         |

  Scenario Outline: With all rules no task runs twice in the same world
    # Guards against duplicate runs that the rules of the protocol leave possible.
    When the model is explored with all rules in the world of <rule>
    Then all its states were visited and none has two runs of the task

    Examples: worlds small enough to explore fully in CI
      | rule               |
      | CLAIM_BOUND        |
      | REFUSAL_NO_WORD    |
      | IDLE_MOVES_NOTHING |
      | REPORT_EPOCH       |
      | RIVALS_ON_REFUSAL  |
      | FRESH_READS        |
      | FENCE              |
      | RIVALS_HANDED_ON   |
      | PROMISE_COUNTS     |
      | JOBS_LISTED_AGAIN  |
      | GIVE_UP_RENEWED    |
      | UNLISTED_HOLDS     |
      | WORD_READS         |

  Scenario: No task runs twice in random worlds
    # Guards against duplicate runs under faults and timings that the worlds above lack.
    When 4 random worlds are explored with all rules
    Then no visited state has two runs of the task
