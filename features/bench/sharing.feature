Feature: The bench that compares policies for sharing VMs, on virtual time

  Scenario: Two simulations with the same seed have the same outcome
    # Guards against state outside the seed, which would make policies incomparable.
    When the fleet of seed 3 is simulated twice with the product's policy
    Then both simulations have the same outcome

  Scenario: Without filling tasks on serving VMs, less is slowed and less gets done
    # Guards against a bench that cannot distinguish policies.
    When the fleet of seed 3 is simulated with the product's policy, and without sharing
    Then the second has fewer seconds over target, and less filling work done

  Scenario: Wide jobs burst onto many small VMs, all of which serve
    # Guards against throttled tasks that hold on to their VMs while others have room.
    When 8 fleets of many small VMs are simulated, moving tasks and only throttling them
    Then with moves more filling work is done, and no more is over target

  Scenario: An invalid option is reported with its value and the allowed ones
    When the bench of sharing is run with "--policies luck"
    Then it ends with code 2 and says "--policies: got 'luck', allowed: "
