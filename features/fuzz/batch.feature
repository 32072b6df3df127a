Feature: No task runs twice or beyond what a VM holds, whatever fails together

  A task runs on two VMs at one time, a VM runs more than it holds, a zone that is
  out starts work, or a task is lost. Order: owners and agents die, are cut off or
  restarted while the store is down or loses answers, zones go out and jobs are
  cancelled. Cause: an owner, agent or record that acts on what is no longer true.

  Scenario: Random faults on the whole batch path against the workers' records
    When 8 random batch histories of up to 20 steps are run on virtual time
    Then in each of them no task ran twice at once and no VM ran more than it holds
    And in each of them no task started in a zone 1 s after it went out
    And in each of them every accepted task ended well, and no refused one ran
