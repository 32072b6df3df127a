Feature: Records of changes are limited in size at the largest supported inventory

  An operator sends a new inventory of 1,100 VMs, then changes one of them. If each
  record were as large as the configuration it replaced, the 200 records that are kept
  would fill the store, and every change would read them all. A difference that was
  truncated must be reported as not known, never as no difference.

  Scenario: The record of a large change is truncated, and marked as truncated
    Given an inventory of 1100 VMs as revision 1
    When each VM's rack is changed as revision 2
    And one VM's cores are changed as revision 3
    Then each record has at most 16384 bytes
    And the difference between revisions 1 and 3 is not known
    And the difference between revisions 2 and 3 is "vms/vm-7: 30.0 -> 28.0 cores"
