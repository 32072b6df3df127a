Feature: The bench of sharing VMs, on virtual time

  Scenario: The same seed gives the same day
    When the fleet of seed 3 is played twice as it is
    Then both days have the same outcome

  Scenario: With nothing beside what serves, nobody is slowed and less gets done
    # Guards against a bench that cannot tell policies apart.
    When the fleet of seed 3 is played as it is, and with nothing beside what serves
    Then the second has fewer seconds over target, and less filling work done

  Scenario: Bad input names the value and what is allowed
    When the bench of sharing is run with "--policies luck"
    Then it ends with code 2 and says "--policies: got 'luck', allowed: "
