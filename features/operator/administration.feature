Feature: Operators change the configuration and see what runs

  Scenario: Only the token opens the operators' port, and only that port
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

  Scenario: Wrong use is told apart from a refusal
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

  Scenario: The loser of a race sees what the winner changed
    Two operators both start from revision 1. The first raises a team's quota; the
    second, through the same entry, sends rules made from revision 1. Cause of a
    wrong answer: a difference taken against what is in force at the entry, which
    has the first change already, is empty, and the second operator overwrites it.

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

  Scenario: The names of metrics are fixed, whatever runs
    An agent has run attempts and an entry has served a request. Their metrics must
    be the same names as before. Cause of the fault: metrics were made of the state
    dump, so each attempt id became a name of its own.

    Given an operator's terminal on the deployment that this feature shares
    And rules that give team "travel-desk" 60 cores in "rules.json"
    When the operator runs "apply --inventory inventory.json --rules rules.json"
    And the operator runs "job submit travel-desk ledger --command echo:done --cores 1 --memory-mb 10 --tasks 3 --wait"
    Then it ends with 0
    And the agent and the entry show these metrics
      | process | metrics |
      | agent   | batch_offer capacity child_restarts configuration_revision free members neighbour_evictions service_request_seconds service_requests_failed service_requests_in_flight service_requests_queued service_requests_refused shards_owned store_calls store_failures store_up streams tasks_running throttles |
      | entry   | child_restarts configuration_revision connections_turned_away draining members request_seconds requests requests_in_flight requests_refused retries store_calls store_failures store_up streams |
    And no metric's label is one of "ledger"

  Scenario: A state dump is bounded, and comes on a signal too
    Given a dump of 100000 attempts
    Then its text is JSON of at most 1048576 bytes, with "99800" left out
    Given an operator's terminal on the deployment that this feature shares
    When the agent is sent SIGUSR1
    Then its standard error shows a state dump of "agent-vm-1"
    And each section of the agent's and the entry's dump stands in docs/OPERATIONS.md
