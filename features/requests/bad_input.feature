Feature: Bad input at the callers' port and at the peer port

  Background:
    Given the feature's small deployment with short bounds for slow callers

  Scenario: 10,000 fuzzed messages at the callers' port
    # Guards against an entry lost to its callers because one of them sends rubbish.
    When 10000 fuzzed requests are sent to the callers' port
    Then each was answered as HTTP says, or its connection closed, and none as "internal"
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: 10,000 fuzzed messages at an agent's peer port
    # Guards against an agent lost to its entries because one peer sends rubbish.
    When 10000 fuzzed messages are sent to the agent's peer port
    Then each stream with a broken frame was closed and no other
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: Callers that are slow, too many, or send too much
    # Guards against connections used up by callers that are slow, many or oversized.
    Then a caller that stops within its headers or its body is cut off
    And a body over the bound is refused as "too_large", chunked or not
    And headers over the bound are refused
    And connections over the bound are refused as "not_run"

  Scenario: A peer without the secret
    # Guards against an agent that obeys a process without the secret.
    Then a peer with another secret is turned away, with a log line
    And one that sends back what it was shown is turned away

  Scenario: Event streams that are cut anywhere
    # Guards against watch events cut or lost when their bytes come in odd pieces.
    Then events come out whole and in order however their bytes are cut
