Feature: A second process with the same node name is refused

  An operator copies an agent's settings to a new VM and starts a second agent while
  the first one still runs. As members are identified by their name alone, the two
  would replace each other in every view in turn, and requests and tasks would be sent
  to either of them.

  Scenario: Settings are copied while the first process runs, then after it has died
    Given an operator's terminal on a deployment of two entries and one agent
    And the inventory is applied
    When the settings of "agent-vm-1" are copied and started on other ports
    Then it ends with 69 and prints "another process named 'agent-vm-1' runs at"
    And the entries still know the first "agent-vm-1"
    When the first "agent-vm-1" is killed
    And the settings of "agent-vm-1" are copied and started on other ports
    Then it starts, and the entries know its new incarnation
