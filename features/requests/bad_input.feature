Feature: Bad input at the callers' port and at the peer port

  Background:
    Given the feature's small deployment with short bounds for slow callers

  Scenario: 10,000 fuzzed messages at the callers' port
    # Guards against malformed requests of one caller that crash, exhaust or block an
    # entry, so that the requests of all its callers fail.
    When 10000 fuzzed requests are sent to the callers' port
    Then each was answered as HTTP says, or its connection closed, and none as "internal"
    And the good requests made meanwhile were answered 200, or refused only while the agent stood still and then served
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: 10,000 fuzzed messages at an agent's peer port
    # Guards against malformed frames of one peer that crash, exhaust or block an agent,
    # so that the calls of all entries fail.
    When 10000 fuzzed messages are sent to the agent's peer port
    Then each stream with a broken frame was closed and no other
    And the good requests made meanwhile were answered 200, or refused only while the agent stood still and then served
    And the processes are the same, grown by less than 60 MB, with no error logged

  Scenario: Slow callers, too many connections and too large requests
    # Guards against an entry whose connections or memory are used up by callers that
    # send their requests slowly, open too many connections or send too much.
    Then a caller that stops within its headers or its body is disconnected
    And a body over the limit is refused as "too_large", chunked or not
    And headers over the limit are refused
    And connections over the limit are refused as "not_run"

  Scenario: A peer without the secret
    # Guards against an agent that serves a process which does not know the cluster
    # secret, or which reflects the agent's own handshake messages as a proof.
    Then a peer with another secret is refused, with a log line
    And one that reflects all that it receives is refused

  Scenario: Event streams whose bytes arrive in chunks of any size
    # Guards against events that a watcher receives truncated or not at all, because a
    # chunk from the endpoint ended within an event or within a line end.
    Then events are relayed complete and in order however their bytes are split
