Feature: A request is never repeated without its caller's knowledge

  Guards against a charge that a caller sends once and the endpoint runs twice. The agent
  reuses a kept-alive connection to the endpoint; the endpoint runs the second request on
  it and closes the connection without an answer. libcurl, which repeats requests on
  reused connections, then sends the request again on a new one without notice.

  Scenario: A charge whose answer is lost runs once and is answered as unknown
    Given a deployment of two entries and three agents in two availability zones
    And the operator has applied its inventory and the rules of team "travel-desk"
    When each endpoint answers a charge and then loses the answer to the next one
    Then the caller is answered "outcome_unknown" and no charge has run twice

  Scenario: A worker closes a kept connection before it answers a start
    # Guards against a second copy's refusal that is taken for the answer to the first.
    Given a worker that closes a kept connection after it has received a write
    When an attempt is started on that connection
    Then the attempt may have been started
    And the worker received it once

  Scenario: An entry closes a kept connection before it answers a change
    # Guards against a change that is reported as not done although it may be carried out.
    Given an entry that closes a kept connection after it has received a write
    When a change without a body is made on that connection
    Then the change may have been carried out

  Scenario: A change that got no answer is refused when it is repeated
    # Guards against a repetition's refusal that is taken for the answer to the first.
    Given a full entry that closes a kept connection after it has received a write
    When a change without a body is made on that connection
    Then the change may have been carried out

  Scenario Outline: A worker answers a start with status <status>
    # Guards against a start that counts as refused although it may be carried out.
    Given a worker that answers each write with status <status> and a code
    When an attempt is started on that connection
    Then the attempt <outcome>

    Examples:
      | status | outcome               |
      | 400    | was refused           |
      | 408    | may have been started |
      | 409    | was refused           |
      | 500    | may have been started |
      | 502    | may have been started |
      | 503    | may have been started |
      | 504    | may have been started |
      | 507    | was refused           |
