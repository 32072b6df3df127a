Feature: Operators' changes hold when answers, entries, agents or the store fail

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
