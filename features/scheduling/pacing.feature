Feature: Properties of throttling and moving filling tasks, in random fleets

  Scenario: A job keeps a working run while its tasks are moved
    # Guards against a job whose runs are all evicted together, again and again.
    Then in 60 random fleets no job loses its last working run to a move

  Scenario: What is left on a VM may work, or can't be moved
    # Guards against runs that hold on to a VM at a pace at which they are moved.
    Then in 60 random fleets each VM's runs have a sufficient pace after the actions

  Scenario: The same reports lead to the same actions
    # Guards against decisions that depend on more than what was reported.
    Then in 30 random fleets two leaders with the same reports give the same orders

  Scenario: Checkpoints of many jobs share a slow link
    # Guards against jobs that wait for larger ones, or larger ones for small ones.
    Then with 40 random loads each job has its turn in the link's share, and little work is unsaved
