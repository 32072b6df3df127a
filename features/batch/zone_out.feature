Feature: A few seconds after a zone is taken out, no task starts there

  Scenario: A zone is taken out while many tasks are being started
    Guards against tasks that still start in a zone that is out, because an owner or
    agent acts on a stale view. Short tasks are started on all VMs continuously, start
    orders are in flight, and a paused agent has not received the change.
    Given a batch deployment of VMs "vm-1=zilina-a=4 vm-2=zilina-b=4 vm-3=zilina-a=4"
    When 4 jobs of 20 tasks of "sleep:0.1" with 2 cores are submitted at once
    And 20 tasks have run
    And the agent on "vm-3" is paused
    And the operator takes zone "zilina-a" out
    And the paused agent resumes after 1 second
    Then all 4 jobs end with 20 tasks succeeded
    And no task started in zone "zilina-a" later than 1 second after it was taken out
    When the operator brings zone "zilina-a" back
    And 4 more jobs of 20 tasks of "sleep:0.3" with 2 cores are submitted at once
    Then a task runs in zone "zilina-a" within 10 seconds

  Scenario: The store goes down right after the zone was taken out
    Guards against tasks that stay or start in a zone that is out, because the store
    fails right after it accepted the change and no process can read it there.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When 4 jobs of 10 tasks of "sleep:1" with 2 cores are submitted at once
    And 8 tasks run
    And the operator takes zone "zilina-a" out and the store goes down
    Then "vm-1" runs at most 0 tasks within 2 seconds
    And "vm-3" runs at most 0 tasks within 2 seconds
    When the store is back after 3 seconds
    Then all 4 jobs end with 10 tasks succeeded
    And no task started in zone "zilina-a" later than 1 second after it was taken out
    And no task ever ran in two places
