Feature: What a new leader has heard of waits for no agent that is silent

  Scenario Outline: A run that was heard ends while another agent is silent
    # Guards against retries and next steps that wait for seconds for an agent that is
    # gone, although they can't run there.
    Given 3 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    When a new leader restores the jobs and gets the reports of all agents but an idle one
    And the run of job "a" <ends>
    Then a task of step <step> of job "a" is started at once

    Examples:
      | ends     | step |
      | lapses   | 0    |
      | succeeds | 1    |

  Scenario Outline: A run of an advised queue that was heard ends while another agent is silent
    # Guards against the same where a ticket is needed, which nobody asks for meanwhile.
    Given 3 VMs of 32 cores
    And job "a" of an advised queue, of 1 task and then of 1 task, of which the first runs
    When a new leader restores the jobs and gets the reports of all agents but an idle one
    And the run of job "a" <ends>
    Then advice is asked for step <step> of job "a", and its task starts once it is granted

    Examples:
      | ends     | step |
      | lapses   | 0    |
      | succeeds | 1    |

  Scenario: No run of a job of an advised queue was heard while another agent is silent
    # Guards against questions, and tickets that end, for steps that may not start yet.
    Given 3 VMs of 32 cores
    And job "a" of an advised queue, of 1 task and then of 1 task, of which the first runs
    When a new leader gets a list of before its claim, and the run fails
    Then no advice is asked for

  Scenario: A run that was heard fails while another agent is silent
    # Guards against more failed runs than a job's attempts: the silent agent may hold
    # the end of an earlier run.
    Given 3 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    When a new leader restores the jobs and gets the reports of all agents but an idle one
    And the run of job "a" fails
    Then no task of job "a" is started
    When it has waited for as long as runs can go on without a leader
    Then a task of step 0 of job "a" is started at once

  Scenario Outline: What a new leader has heard may be from before its claim
    # Guards against duplicate runs: an earlier leader may have counted the run as lapsed,
    # or have known its end, and started the next one at the silent agent.
    Given 3 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    When <before>
    Then no task of job "a" is started
    When it has waited for as long as runs can go on without a leader
    Then a task of step 0 of job "a" is started at once

    Examples:
      | before                                                              |
      | a new leader gets a list of before its claim, and the run fails     |
      | a new leader first hears of the run when it has failed              |

  Scenario: One member of a gang is heard
    # Guards against a gang that starts again while a member runs at a silent agent.
    Given 2 VMs of 6 cores
    And a gang "a" of 2 tasks of 4 cores runs
    When a new leader gets the report of one of its agents, and that run breaks
    Then no task of job "a" is started

  Scenario Outline: The end of a run that was heard before
    # Guards against ends that are not acknowledged for seconds because an agent is gone.
    Given 3 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    When <before>
    And the success of its run is stored
    Then its success is <acknowledged>

    Examples:
      | before                                                                        | acknowledged     |
      | a new leader restores the jobs and gets the reports of all agents but an idle one | acknowledged     |
      | a new leader gets a list of before its claim                                  | not acknowledged |

  Scenario Outline: An agent that was restarted knows no worker
    # Guards against a claim some seconds after a loss of power, from which all work waits
    # as long again for an agent whose worker does not come back.
    Given 3 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    When a new leader hears that the agent of the run was restarted <up> s before
    Then job "a" <starts>

    Examples:
      | up  | starts       |
      | 4.5 | starts not   |
      | 5.2 | starts again |

  Scenario Outline: An earlier leader ended a task by a run that it had given up
    # Guards against duplicate runs of the next step: the end of an earlier run was not
    # stored, so a later run of the task that goes on accounts for the next step.
    Given 4 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    And its agent is out of touch, its run succeeds, and a later run is started
    And the leader hears of the success, gives its orders, and ends
    When a new leader hears of the later run, but not of the next step
    And <then>
    Then no task of job "a" has two runs

    Examples:
      | then                                      |
      | the new leader hears of the success again |
      | the later run succeeds                    |

  Scenario: An earlier leader ended a task while the agent of its later run was silent
    # Guards against duplicate runs of the next step: that leader did not know the later run.
    Given 5 VMs of 32 cores
    And job "a" of 2 tasks, and then of 1 task, of which the first run
    And one agent is out of touch, its run succeeds, and a later run is started
    When a new leader hears of the success and of the other task, which succeeds, but not of the later run
    And a third leader hears of the later run, but not of the next step
    And the later run succeeds
    Then no task of job "a" has two runs

  Scenario: A task ends by a run that was given up while a later one goes on
    # Guards against next steps that wait for longer than until the success is stored.
    Given 4 VMs of 32 cores
    And job "a" of 1 task, and then of 1 task, of which the first runs
    And its agent is out of touch, its run succeeds, and a later run is started
    And the leader hears of the success, gives its orders, and goes on
    When the success is stored
    Then a task of step 1 of job "a" is started at once
