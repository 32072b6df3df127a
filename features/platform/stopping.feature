Feature: An entry that is told to stop answers every request that it has got

  Scenario: An entry is stopped while the store answers slowly
    # Guards against requests in progress that are cut as soon as the balancer sends no more.
    Given a deployment of 1 entry and 1 agent
    And 8 callers that use their connections until the entry ends them
    And the store takes 0.6 s to answer
    When the entry is told to stop
    Then it ends by itself within its grace period
    And no caller waited for an answer that did not come

  Scenario: An entry that stops gets further signals until it has ended
    # Guards against a second signal that ends the process at once, or its exit code.
    Given a deployment of 1 entry and 1 agent
    And 8 callers that use their connections until the entry ends them
    And the store takes 0.6 s to answer
    When the entry is told to stop
    And it gets SIGTERM, SIGINT and SIGHUP again and again
    Then it ends by itself within its grace period
    And no caller waited for an answer that did not come

  Scenario: The store does not answer before an entry's grace period is over
    # Guards against callers that learn of the stop only by a broken connection.
    Given a deployment of 1 entry and 1 agent
    And the store takes 30 s to answer
    When the entry is told to stop
    And callers send a POST, a GET and a DELETE that have 60 s, 2 s later
    Then it ends by itself within its grace period
    And each of these requests was answered 503 or 504

  Scenario: An entry that knows many tasks is told to stop
    # Guards against a process that still frees its memory when its grace period is over.
    Given a deployment of 1 entry and 1 agent
    And 600 jobs of 1000 tasks wait
    And the store takes 30 s to answer
    When the entry is told to stop
    And callers send a POST, a GET and a DELETE that have 60 s, 2 s later
    Then it ends by itself within its grace period
    And each of these requests was answered 503 or 504

  Scenario: No other entry answers as the leader is told to stop
    # Guards against a stop that asks one entry after the other beyond its grace period.
    Given a deployment of 1 entry and 1 agent
    And 5 entries are registered that do not answer
    When the entry is told to stop
    Then it ends by itself within its grace period

  Scenario: An entry stands still just before it closes its port
    # Guards against requests in the kernel's buffers and connections not yet accepted.
    Given a deployment of 1 entry and 1 agent
    And 4 callers with an idle connection
    When the entry is told to stop, and stands still from 2 s to 3 s on
    And all callers, and 4 new ones, send a request while it does
    Then each of these requests was answered

  Scenario: A request is sent in two halves while an entry stops
    # Guards against a connection that is taken for idle because its request is not whole.
    Given a deployment of 1 entry and 1 agent
    And 2 callers with an idle connection
    When the entry is told to stop
    And the callers send half of the head, or half of the body, 2 s later
    And they send the rest 0.6 s later
    Then each of these requests was answered

  Scenario: An entry that stops announces the end of its connections
    # Guards against callers that send another request just as the connection ends.
    Given a deployment of 1 entry and 1 agent
    And 4 callers with an idle connection
    When the entry is told to stop
    And all callers send a request
    Then each of these answers announces the end of the connection

  Scenario: A caller sends two requests at once to an entry that stops
    # Guards against a second request that is thrown away with the end of its connection.
    Given a server for callers that has been told to stop
    When 20 callers send a request, and the next one 0.03 s before its answer
    Then all 40 requests were answered

  Scenario Outline: Requests arrive while the loop is busy, just before connections close
    # Guards against a request that is cut between its reading and its handling.
    Given a server for callers that has been told to stop
    And 4 connections that have had an answer
    When all send a <method>, and the loop is busy until the server drains
    Then these 4 requests were answered

    Examples:
      | method |
      | GET    |
      | DELETE |

  Scenario: The last byte of a request arrives as a stop gives up what is in progress
    # Guards against a request that is carried out, and cut, in the last moment of a stop.
    Given a server for callers that has been told to stop
    And a connection with a request less its last byte
    When all calls are given up, and the last byte arrives
    Then that request is answered 503

  Scenario: A caller goes away before its answer
    # Guards against requests without an answer of which nobody can say why.
    Given a deployment of 1 entry and 1 agent
    And the store takes 0.6 s to answer
    When a caller sends a POST and closes its connection
    Then the entry logs that its connection ended before the answer, as "caller gone"
    And the entry counts 1 unanswered call, as "caller gone"

  Scenario: A process is told to reload its settings before it has read them
    # Guards against a process that a reload ends because its handler is not there yet.
    Given a deployment of 1 entry and 1 agent
    When entry 1 and agent 1 are started again, and get SIGHUP while they import modules
    Then both have started, and a job is done
