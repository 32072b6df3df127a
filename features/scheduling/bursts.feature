Feature: A burst of wide jobs on a large fleet

  Scenario: Tasks of one step share the look at the VMs
    # Guards against rounds that cost tasks times VMs: the leader stood still for seconds.
    Given 160 VMs of 32 cores
    When job "wide" of 60 tasks with 4 cores is placed
    Then 60 tasks of job "wide" run
    And its VMs were scored 220 times at most

  Scenario: A shared look finds what a look for each task finds
    # Guards against worse places than one look for each task would find.
    Then in 200 random fleets both choose the same VMs
