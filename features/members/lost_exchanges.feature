Feature: News spreads although much of it is lost

  Scenario: A change of configuration while three of ten exchanges are lost
    # Guards against configuration changes that spread late when exchanges are lost.
    Given 100 processes that know each other, on a network that loses 0.3 of exchanges
    When a process hears of a configuration from the store
    Then it is in force at all processes within 3 seconds

  Scenario: What a view has ready is what a walk over its members gives
    # Guards against lookups that name a process that is gone.
    Given a view that hears 5000 random pieces of news of 30 members
    Then after each its index and its sums are those of a walk over all members
