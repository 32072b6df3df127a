Feature: An accepted configuration is in force everywhere and never reverts

  An operator reads a lower revision at a process that had a higher one, or a
  removed VM stays in force at some process for ever. Order: operators race while
  nodes join with old peers, die, are cut from each other and heal, and answers of
  the store are lost. Cause: a merge that takes an older part, or a delta that
  does not tell what was removed.

  Scenario: Random changes, joins, kills, cuts and lost answers against an oracle
    When 20 random histories of up to 20 steps are run on virtual time
    Then in each of them every process only went forward through the store's revisions
    And in each of them all processes had the newest one 10 s after the last fault
