Feature: Time without a leader that may act

  Scenario: A store outage in which one entry's promise is missing ends
    # Guards against starts held up after the store is back, or refused by the agents.
    Given 5 entries and 6 agents on virtual time, one of which leads
    When another entry becomes unreachable, and no entry reaches the store for 4.1 s
    And a job of 12 tasks is stored as the store comes back
    Then its tasks have started within 0.6 s, and no start was refused

  Scenario: Agents whose leader may not act
    # Guards against a stampede of reports and reads of the store during an outage.
    Given 5 entries and 6 agents on virtual time, one of which leads
    When another entry becomes unreachable, and no entry reaches the store for 6 s
    Then each agent has sent at most 40 reports in that time
