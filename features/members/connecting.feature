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
