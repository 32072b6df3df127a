Feature: Connections to peers that have just come back

  Scenario: A peer without power comes back while a connection to it is opened
    # Guards against a peer that is reached a second late, because the kernel repeats a
    # lost packet only after that time.
    Given a peer that answers no packet for 0.35 s, on virtual time
    When a connection to it is opened, with a limit of 0.6 s
    Then it is established after 0.4 s

  Scenario: A peer answers two attempts
    # Guards against connections that are left open, for which nobody is responsible.
    Given a peer that answers each packet after 0.25 s, on virtual time
    When a connection to it is opened, with a limit of 0.6 s
    Then it is established after 0.25 s
    And one connection is open 1 s later

  Scenario: A peer refuses the connection
    # Guards against a refusal that is noticed only after the limit for connecting.
    Given a peer that refuses, on virtual time
    When a connection to it is opened, with a limit of 0.6 s
    Then it fails after 0 s

  Scenario: A peer stays without power
    # Guards against attempts that go on after the limit.
    Given a peer that answers no packet for 30 s, on virtual time
    When a connection to it is opened, with a limit of 0.6 s
    Then it fails after 0.6 s
    And 3 attempts were made

  Scenario Outline: A peer is called at <host>, port <port>
    # Guards against a part that crashes, or a name look-up that stops the whole process.
    Then a call to host "<host>" and port <port> is lost at once
    And a probe of host "<host>" and port <port> does not take it for refused

    Examples:
      | host       | port                 |
      | 127.0.0.1  | 0                    |
      | 127.0.0.1  | -1                   |
      | 127.0.0.1  | 70000                |
      | 127.0.0.1  | 9223372036854775808  |
      | localhost  | 9                    |
      | a..b       | 9                    |
      | 127.0.0    | 9                    |

  Scenario: A peer is called at a host of 300 letters
    # Guards against an exception of the encoding of host names.
    Then a call to a host of 300 letters is lost at once

  Scenario: An entry asks who leads and states an address that can't be called
    # Guards against a leader that needs the promise of an entry which can't be asked.
    Given 2 entries and 1 agents on virtual time, one of which leads
    When a message asks it who leads, with port 70000 and then with a host name
    Then it knows one other entry
