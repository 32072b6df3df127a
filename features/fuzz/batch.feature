Feature: No task runs twice or exceeds its VM's capacity under combined faults

  Guards against a task that runs on two VMs at a time, a VM that runs more than it
  can hold, work that starts in a zone that is out, and lost tasks. Owners and agents
  fail, are partitioned or restart while the store is down or loses answers, zones are
  taken out and jobs are cancelled, so that an owner, agent or record acts on stale
  state.

  Scenario: Random faults on batch scheduling, checked against the workers' records
    When 8 random batch histories of up to 20 steps are run on virtual time
    Then in each of them no task ran twice at once and no VM ran more than it holds
    And in each of them no task started in a zone 1 s after it went out
    And in each of them every accepted task succeeded and no refused job ran
