Feature: A second process of the same name is refused

  An operator copies an agent's settings to a new VM and starts it while the old one
  still runs. Both would take turns in every view, and requests and tasks go now to
  one and now to the other. Cause: nothing but the name tells processes apart.

  Scenario: Settings are copied while the first process runs, then after it has died
    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When the settings of "agent-vm-1" are copied and started on other ports
    Then it ends with 69 and tells "another process named 'agent-vm-1' runs at"
    And the first "agent-vm-1" is still the one that the entries know
    When the first "agent-vm-1" is killed
    And the settings of "agent-vm-1" are copied and started on other ports
    Then it serves, and the entries know it by its new incarnation
