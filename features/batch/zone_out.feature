Feature: A few seconds after a zone is taken out, no task starts there

  Scenario: A zone goes out while a queue of tasks is being started
    Short tasks are started on all VMs all the time when operators take a zone out.
    Orders are on their way, and an agent that was paused has not heard of it. Tasks
    go on starting there, because some owner or agent works from an old view.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4 vm-3=zilina-a=4"
    When 4 jobs of 20 tasks of "sleep:0.1" with 2 cores are submitted at once
    And 20 tasks have run
    And the agent on "vm-3" is frozen
    And the operator takes zone "zilina-a" out
    And what was frozen goes on after 1 second
    Then all 4 jobs end with 20 tasks succeeded
    And no task started in zone "zilina-a" later than 1 second after that
    When the operator brings zone "zilina-a" back
    And 4 more jobs of 20 tasks of "sleep:0.3" with 2 cores are submitted at once
    Then a task runs in zone "zilina-a" within 10 seconds

  Scenario: The store goes down right after the zone was taken out
    The operators' change is accepted and the store fails at once, so that no process
    can read it there. Tasks that run in the zone must leave it, and none may start.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When 4 jobs of 10 tasks of "sleep:1" with 2 cores are submitted at once
    And 8 tasks run
    And the operator takes zone "zilina-a" out and the store goes down
    Then "vm-1" runs at most 0 tasks within 2 seconds
    And "vm-3" runs at most 0 tasks within 2 seconds
    When the store is back after 3 seconds
    Then all 4 jobs end with 10 tasks succeeded
    And no task started in zone "zilina-a" later than 1 second after that
    And no task ever ran in two places
