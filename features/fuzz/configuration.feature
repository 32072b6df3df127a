Feature: An accepted configuration is in force everywhere and never reverts

  Guards against a process whose revision decreases, and against a removed VM that
  stays in force at some process. Either can happen when operators make concurrent
  changes while nodes join through outdated peers, die, are partitioned and reconnect,
  and answers of the store are lost. Cause: a merge that accepts an older part, or a
  delta without the removed parts.

  Scenario: Random changes, joins, kills, partitions and lost answers
    When 20 random histories of up to 20 steps are run on virtual time
    Then in each of them every process adopted the store's revisions in increasing order
    And in each of them all processes had the newest revision 10 s after the last fault
