Feature: Time without a leader that may act

  Scenario: Agents whose leader may not act
    # Guards against a stampede of reports and reads of the store during an outage.
    Given 5 entries and 6 agents on virtual time, one of which leads
    When another entry becomes unreachable, and no entry reaches the store for 6 s
    Then each agent has sent at most 40 reports in that time
