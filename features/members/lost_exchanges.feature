Feature: News spreads although much of it is lost

  Scenario: A change of configuration while three of ten exchanges are lost
    # Operators take a zone out and customers' requests still go there 10 seconds
    # later. A bad switch loses three of ten exchanges: a lost pull is not asked
    # again, and a lost exchange holds up the rounds that would make up for it.
    Given 100 processes that know each other, on a network that loses 0.3 of exchanges
    When a process hears of a configuration from the store
    Then it is in force at all processes within 3 seconds

  Scenario: What a view has ready is what a walk over its members gives
    # A shard's owner is looked for at a process that is gone: the view's index was
    # not made anew after a change.
    Given a view that hears 5000 random pieces of news of 30 members
    Then after each its index and its sums are those of a walk over all members
