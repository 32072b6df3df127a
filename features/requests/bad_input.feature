Feature: Bad input at the callers' port and at the peer port

  Background:
    Given the feature's small deployment with short bounds for slow callers

  Scenario: 10,000 fuzzed messages at the callers' port
    # Customers lose the entry because one caller, or a scanner, sends rubbish. Requests
    # are cut, mutated and blown up, while another caller goes on with good ones.
    When 10000 fuzzed requests are sent to the callers' port
    Then each was answered as HTTP says, or its connection closed, and none as "internal"
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: 10,000 fuzzed messages at an agent's peer port
    # An endpoint's VM goes out of service because of one broken peer. Rubbish comes
    # before the hello, and odd or broken frames after it.
    When 10000 fuzzed messages are sent to the agent's peer port
    Then each stream with a broken frame was closed and no other
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: Callers that are slow, too many, or send too much
    # Customers find no connection free because others hold them. Callers stop within
    # the headers or the body, hold connections open, or send more than is taken.
    Then a caller that stops within its headers or its body is cut off
    And a body over the bound is refused as "too_large", chunked or not
    And headers over the bound are refused
    And connections over the bound are refused as "not_run"

  Scenario: A peer without the secret
    # A stranger on the network orders an agent about, or reads what callers send.
    Then a peer with another secret is turned away, with a log line
    And one that sends back what it was shown is turned away

  Scenario: Event streams that are cut anywhere
    # A watcher sees half an event, or misses one, because its bytes came in other pieces
    # or with other line ends than usual.
    Then events come out whole and in order however their bytes are cut
