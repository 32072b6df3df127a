Feature: No task ever runs in two places at once

  Scenario: An owner is paused past its lease and goes on in the middle of its work
    A shard's owner is frozen while it places tasks; another takes the shard and
    places them too. Thawed, the first goes on with a commit and starts that it had
    decided on before, and a task would run twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 30 tasks of "sleep:0.4" with 2 cores is submitted
    And the owner of job "ledger" is frozen as soon as a task runs
    And another agent owns the shard of job "ledger"
    And the store answers 0.3 seconds late
    And what was frozen goes on
    Then job "ledger" ends with 30 tasks succeeded
    And no task ever ran in two places

  Scenario: A VM's agent is paused past its grants while its worker goes on
    An agent is frozen, its worker and tasks are not. The owner gives the tasks to
    other VMs once their grants have lapsed. Were the tasks to run on without a
    grant, each would run in two places; thawed, the agent must not start what was
    ordered before the pause.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When job "ledger" of 6 tasks of "sleep:6" with 2 cores is submitted
    And an agent that runs tasks and owns no shard of job "ledger" is frozen
    Then its tasks run on other VMs
    When what was frozen goes on
    Then job "ledger" ends with 6 tasks succeeded
    And no task ever ran in two places

  Scenario: The store loses the answers to assignments
    The store writes assignments and their answers are lost. The owner can't tell
    whether its tasks may start; were it to place them anew under other numbers
    while the first assignment stands, they would run twice.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the store loses the next 6 answers to writes of "/log/"
    And job "ledger" of 12 tasks of "sleep:0.3" with 2 cores is submitted until known
    Then job "ledger" ends with 12 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places

  Scenario: One job is submitted many times at once
    A caller's submission is sent again while the first is still being written. The
    second is answered as another job of the same name, or it is accepted anew and
    forgets what the first one's tasks have come to.
    Given a batch deployment of VMs "vm-1=zilina-a=8 vm-2=zilina-b=8 vm-3=zilina-a=8"
    When the store answers 0.3 seconds late
    And job "ledger" of 6 tasks of "sleep:1" with 2 cores is submitted 12 times at once
    Then every one of these submissions was accepted
    And job "ledger" ends with 6 tasks succeeded
    And each task of job "ledger" succeeded once
    And no task ever ran in two places
