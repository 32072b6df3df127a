Feature: Records of changes are bounded at the size that the system is meant for

  An operator sends a new inventory of 1,100 VMs, then changes one of them. Were each
  record as large as what it replaced, the 200 that are kept would fill the store and
  every change would read them all. What was cut must be told as not known, never as
  no difference.

  Scenario: A record of a large change is cut, and says so
    Given an inventory of 1100 VMs as revision 1
    When each VM's rack is changed as revision 2
    And one VM's cores are changed as revision 3
    Then each record has at most 16384 bytes
    And the difference between revisions 1 and 3 is not known
    And the difference between revisions 2 and 3 is "vms/vm-7: 30.0 -> 28.0 cores"
