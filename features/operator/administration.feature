Feature: Operators change the configuration and see what runs

  Scenario: The operators' port requires the token, which no other port accepts
    Guards against a path of the operators' port that is served without the token, or
    at the callers' port.

    Given an operator's terminal on the deployment that this feature shares
    Then these calls are refused
      | port    | method | path                      | token | status | code         |
      | admin   | GET    | /admin/configuration      | none  | 401    | unauthorized |
      | admin   | PUT    | /admin/configuration      | wrong | 401    | unauthorized |
      | admin   | POST   | /admin/zones/zilina-a/out | wrong | 401    | unauthorized |
      | admin   | GET    | /metrics                  | none  | 401    | unauthorized |
      | admin   | GET    | /nothing                  | none  | 401    | unauthorized |
      | admin   | GET    | /nothing                  | right | 404    | not_found    |
      | admin   | GET    | /admin/state/nobody       | right | 404    | not_found    |
      | admin   | POST   | /admin/zones/nowhere/out  | right | 404    | not_found    |
      | callers | GET    | /admin/configuration      | right | 404    | not_found    |
      | callers | GET    | /metrics                  | right | 404    | not_found    |
    And a body of 2000000 bytes is refused at the operators' port
    And no change was accepted

  Scenario: Usage errors and unreachable entries have their own exit codes
    Guards against a script that can't distinguish a wrong command line, which it should
    not repeat, from an entry that was not reached.

    Given an operator's terminal on the deployment that this feature shares
    When the operator runs "zone out"
    Then it ends with 2
    When the operator runs "apply"
    Then it ends with 2
    And it says "give --inventory FILE, --rules FILE"
    When the operator runs "nodes --settings none.json"
    Then it ends with 2
    And it says "none.json: $: can't be read: No such file or directory"
    When the operator runs "nodes --admin http://127.0.0.1:1"
    Then it ends with 4
    And it says "no entry was reached; nothing was done"

  Scenario: A change based on an old revision is refused with the difference
    Two operators both start from revision 1. The first raises a team's quota; the
    second, through the same entry, sends rules based on revision 1. Guards against
    a difference computed from the configuration in force at the entry: it already
    has the first change, so the difference would be empty, and the second operator
    would overwrite the change.

    Given an operator's terminal on the deployment that this feature shares
    And rules that give team "travel-desk" 60 cores in "rules.json"
    And rules that give team "travel-desk" 80 cores in "raised.json"
    And rules that give team "ledger-desk" 10 cores in "other.json"
    When the operator runs "apply --inventory inventory.json --rules rules.json"
    Then it ends with 0
    When the operator runs "apply --rules raised.json --base-revision 1"
    Then it ends with 0
    When the operator runs "apply --rules other.json --base-revision 1"
    Then it ends with 3
    And it says "revision 2 came first; nothing was applied"
    And it says "~ teams/travel-desk.cores: 60.0 -> 80.0"
    When the operator runs "apply --rules other.json --base-revision 7"
    Then it ends with 3
    And it says "there is no revision 7; the present one is 2; nothing was applied"
    When the operator runs "config show --fields revision"
    Then it says ""revision": 2"

  Scenario: Metric names do not depend on the workload
    Guards against metrics that are generated from the state dump, which gives each
    attempt id a metric name of its own. After an agent has run attempts, the names
    that the agent and the entry export must be the same as before.

    Given an operator's terminal on the deployment that this feature shares
    And rules that give team "travel-desk" 60 cores in "rules.json"
    When the operator runs "apply --inventory inventory.json --rules rules.json"
    And the operator runs "job submit travel-desk ledger --command echo:done --cores 1 --memory-mb 10 --tasks 3 --wait"
    Then it ends with 0
    And the agent and the entry export these metrics
      | process | metrics |
      | agent   | batch_offer capacity child_restarts configuration_revision free members neighbour_evictions service_request_seconds service_requests_failed service_requests_in_flight service_requests_queued service_requests_refused shards_owned store_calls store_failures store_up streams tasks_running throttles |
      | entry   | child_restarts configuration_revision connections_turned_away draining members request_seconds requests requests_in_flight requests_refused retries store_calls store_failures store_up streams |
    And no metric has a label with "ledger"

  Scenario: A state dump is limited in size, and is also written on a signal
    Guards against a dump that grows with the number of attempts. SIGUSR1 writes the dump
    to standard error, without a call to the process's port.

    Given a dump of 100000 attempts
    Then its text is JSON of at most 1048576 bytes, with "99800" left out
    Given an operator's terminal on the deployment that this feature shares
    When the agent is sent SIGUSR1
    Then its standard error shows a state dump of "agent-vm-1"
    And each section of the agent's and the entry's dump is listed in docs/OPERATIONS.md
