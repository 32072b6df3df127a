Feature: A second process of one name is refused

  Requests and grants reach now one, now the other of two machines. Order: an
  operator copies an entry's settings file to a new VM and starts it; the first one
  still runs. Cause: peers see one member that moves to and fro.

  Scenario: A copy of a running entry ends at once, a restarted one does not
    Given a deployment of two entries and three agents in two availability zones
    When the second entry is started once more from a copy of its settings
    Then the copy ends with 72 and says where the other runs
    When the second entry dies and the copy is started again
    Then the copy serves
