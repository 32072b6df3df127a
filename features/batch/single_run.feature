Feature: No task ever runs in two places at once

  Scenario: An owner is paused past its lease and resumes while placing tasks
    Guards against a task that runs twice. A shard's owner is paused while it places
    tasks, and another agent claims the shard and places them too. The first owner then
    resumes with the commit and the starts that it decided on before the pause.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 30 tasks of "sleep:0.4" with 2 cores is submitted
    And the owner of job "ledger" is paused as soon as a task runs
    And another agent owns the shard of job "ledger"
    And the store answers 0.3 seconds late
    And the paused agent resumes
    Then job "ledger" ends with 30 tasks succeeded
    And no task ever ran in two places

  Scenario: A VM's agent is paused past its grants while its worker keeps running
    Guards against tasks that run in two places. An agent is paused, but not its worker
    or its tasks, so the owner assigns the tasks to other VMs once their grants have
    lapsed. Tasks must stop without a grant, and the resumed agent must not carry out
    start orders from before the pause.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:6" with 2 cores is submitted
    And an agent that runs tasks and owns no shard of job "ledger" is paused
    Then its tasks run on other VMs
    When the paused agent resumes
    Then job "ledger" ends with 6 tasks succeeded
    And no task ever ran in two places

  Scenario: The store loses the answers to assignments
    Guards against tasks that run twice. The store writes assignments but the answers
    are lost, so the outcome is in doubt. The owner must not place the tasks again
    under other attempt numbers while the first assignments are in the log.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the store loses the next 6 answers to writes of "/log/"
    And job "ledger" of 12 tasks of "sleep:0.3" with 2 cores is submitted until it is accepted
    Then job "ledger" ends with 12 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places

  Scenario: One job is submitted many times at once
    Guards against a repeated submission, sent while the first is still being written,
    that is refused as another job of the same name, or is accepted again and loses the
    state of the first one's tasks.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the store answers 0.3 seconds late
    And job "ledger" of 6 tasks of "sleep:1" with 2 cores is submitted 12 times at once
    Then every one of these submissions was accepted
    And job "ledger" ends with 6 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places
