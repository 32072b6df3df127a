Feature: An entry's ports answer what has reached them before they close

  Scenario: Connections wait to be accepted as the callers' port closes
    # Guards against requests that the kernel resets with the port that they wait at.
    Given a callers' server
    When 4 callers send a request, and it drains before it has accepted them
    Then each of these was answered whole

  Scenario: Requests arrive as idle connections are closed
    # Guards against requests that are reset with a connection that was taken for idle.
    Given a callers' server
    And 4 callers whose connections have been idle
    When all of them send a request as the server closes its connections
    Then each of these was answered whole

  Scenario: An operator's request is being sent as the entry stops
    # Guards against operators' requests that are cut by a stop.
    Given two entries and two agents, the first agent behind a link
    When half of an operator's request has been sent as the first entry is told to stop
    And the rest is sent once its callers' port is closed
    Then that request was answered
    And the entry exits with 0
