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

  Scenario: A zone's move that is repeated after another's change is done once
    The answer to a zone taken out is lost. Before the command repeats the call
    through the other entry, a second operator brings the zone back. Cause of the
    fault: the change id is compared with the newest change only, so the repeat
    looks new and takes the zone out a second time.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When zone "zilina-a" is moved "out" with change id "first" through entry 1
    And zone "zilina-a" is moved "in" with change id "second" through entry 1
    And zone "zilina-a" is moved "out" with change id "first" through entry 2
    Then the answer's revision is 2
    And revision 3 is accepted, with no zone out

  Scenario: The store loses the answer to an accepted change
    The store writes the new configuration and its answer is lost on the way. The
    operator must see it accepted once, neither refused nor accepted twice.
    Cause: the write took effect before the connection broke.

    Given an operator's terminal on a deployment of two entries and one agent
    And the store loses the next answer to a write of "configuration"
    And the inventory is applied
    Then the store has written the configuration 1 time
    Given the store loses the next answer to a write of "configuration"
    When the operator runs "zone out zilina-a"
    Then it ends with 0
    And it says "zilina-a is out of service from revision 2 on"
    And the store has written the configuration 2 times

  Scenario: An entry has died and another takes the change
    An operator takes a zone out. The first entry named does not answer any more;
    the command goes to the next one by itself. Cause: the entry's VM has failed.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When entry 1 is killed
    And the operator runs "zone out zilina-a"
    Then it ends with 0
    And it says "zilina-a is out of service from revision 2 on"

  Scenario: The store is down
    The operator applies an inventory during an outage of the store. The command
    says that nothing was done, ends with its own code, and nothing is applied
    later either. Cause: the platform's store refuses all calls.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    And rules that give team "travel-desk" 60 cores in "rules.json"
    When the store goes out of reach
    And the operator runs "apply --rules rules.json --base-revision 1"
    Then it ends with 4
    And it says "nothing was done"
    When the operator runs "config show --in-force --fields revision"
    Then it says ""revision": 1"
    When the store comes back
    Then revision 1 is accepted, with no zone out

  Scenario: A zone is not said to be empty while an agent there is silent
    A VM is paused with a task on it when its zone is taken out. The operator who
    waits must not be told that the zone is empty. Cause: a paused agent answers
    nothing, and what can't be counted is easily counted as none.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When VM "vm-1" is paused
    And the operator runs "zone out zilina-a --wait --timeout 1"
    Then it ends with 6
    And it says "0 of 1 agents have heard"
