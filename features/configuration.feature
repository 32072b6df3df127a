Feature: An inventory is checked as a whole before anything is applied

  Guards against a check that stops at the first problem, so that an operator with
  several mistakes corrects and repeats once for each of them.

  Scenario: Every problem is reported at once, each with its path
    Given an inventory with a misspelt key, a duplicate VM, an unknown VM and a VM that is too small
    When the inventory is checked
    Then these problems are reported
      | problem                                                                                              |
      | $.vms[0].coers: unknown key; did you mean 'cores'?                                                   |
      | $.vms[0].cores: missing                                                                              |
      | $.vms: 'vm-1' stands 2 times                                                                         |
      | $.services[0].vms[1]: no VM 'vm-9' in the inventory                                                  |
      | $.vms[1]: the services placed on 'vm-1' take 8 cores, 1000 MB, 0 accelerators, it holds 4 cores, 2000 MB, 0 accelerators |
    When the misspelt key is corrected
    Then these problems are reported
      | problem                                                                                              |
      | $.vms: 'vm-1' stands 2 times                                                                         |
      | $.services[0].vms[1]: no VM 'vm-9' in the inventory                                                  |
      | $.vms[0]: the services placed on 'vm-1' take 8 cores, 1000 MB, 0 accelerators, it holds 4 cores, 2000 MB, 0 accelerators |
      | $.vms[1]: the services placed on 'vm-1' take 8 cores, 1000 MB, 0 accelerators, it holds 4 cores, 2000 MB, 0 accelerators |
