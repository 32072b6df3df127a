Feature: No two runs of a task go on, by a model explored by machine

  A task runs twice: the leader before was cut off, refused, killed or told to stop,
  another entry leads, and a run that goes on is taken for over. Cause: what the new
  leader believes does not follow from what agents and workers were promised at the
  latest. The model has entries, agents, workers, a store and a network that delays,
  loses and refuses; a search visits its states breadth first.

  Scenario Outline: Without the rule "<rule>" two runs go on
    When the model is explored without the rule <rule>
    Then a history with two runs of the task is found and printed

    Examples: what the argument rests on
      | rule               |
      | CLAIM_BOUND        |
      | REFUSAL_NO_WORD    |
      | IDLE_MOVES_NOTHING |
      | REPORT_EPOCH       |
      | RIVALS_ON_REFUSAL  |
      | FRESH_READS        |
      | RIVALS_HANDED_ON   |
      | PROMISE_COUNTS     |
      | JOBS_LISTED_AGAIN  |
      | GIVE_UP_RENEWED    |
      | UNLISTED_HOLDS     |
      | WORD_READS         |

  Scenario Outline: With all rules no two runs go on in the same world
    When the model is explored with all rules in the world of <rule>
    Then all its states were visited and none has two runs of the task

    Examples: worlds that are small enough for CI
      | rule               |
      | CLAIM_BOUND        |
      | REFUSAL_NO_WORD    |
      | IDLE_MOVES_NOTHING |
      | RIVALS_ON_REFUSAL  |
      | RIVALS_HANDED_ON   |
      | PROMISE_COUNTS     |
      | JOBS_LISTED_AGAIN  |
      | GIVE_UP_RENEWED    |

  Scenario: In worlds drawn at random no two runs go on
    When 4 worlds are drawn at random and explored with all rules
    Then in the part visited none has two runs of the task
