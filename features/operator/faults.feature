Feature: Operators' changes survive failures of answers, entries, agents and the store

  Scenario: A zone change that is repeated after another change is applied once
    Guards against a repeated call that takes a zone out a second time. The answer to
    `zone out` is lost, and before the command repeats the call through the other
    entry, a second operator brings the zone back. Cause: the change id is compared
    with the newest change only, so the repeat looks like a new change.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When zone "zilina-a" is moved "out" with change id "first" through entry 1
    And zone "zilina-a" is moved "in" with change id "second" through entry 1
    And zone "zilina-a" is moved "out" with change id "first" through entry 2
    Then the answer's revision is 2
    And revision 3 is accepted, with no zone out

  Scenario: The store loses the answer to an accepted change
    Guards against a change that is refused, or accepted twice, after the store wrote
    it once. The answer of the store is lost: the connection breaks after the write
    has taken effect.

    Given an operator's terminal on a deployment of two entries and one agent
    And the store loses the next answer to a write of "configuration"
    And the inventory is applied
    Then the store has written the configuration 1 time
    Given the store loses the next answer to a write of "configuration"
    When the operator runs "zone out zilina-a"
    Then it ends with 0
    And it says "zilina-a is out of service from revision 2 on"
    And the store has written the configuration 2 times

  Scenario: An entry has failed and another accepts the change
    Guards against a command that depends on one entry. An operator takes a zone out
    while the first entry of the settings does not answer, because its VM has failed;
    the command continues with the next entry.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When entry 1 is killed
    And the operator runs "zone out zilina-a"
    Then it ends with 0
    And it says "zilina-a is out of service from revision 2 on"

  Scenario: The store is down
    Guards against a change that is reported as not done but applied later. The
    operator applies rules while the platform's store refuses all calls. The
    command says that nothing was done and has a separate exit code.

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

  Scenario: A zone is not reported empty while an agent there does not answer
    Guards against a zone reported empty while tasks may still run there. A VM is
    paused when its zone is taken out. Cause: a paused agent sends no counts, and
    missing counts are taken for zero.

    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When VM "vm-1" is paused
    And the operator runs "zone out zilina-a --wait --timeout 1"
    Then it ends with 6
    And it says "0 of 1 agents have heard"
