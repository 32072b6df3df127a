Feature: Calls to workers that are not answered and carried out late

  Scenario: A late start reaches the next incarnation of its worker beside a new start
    # Guards against two runs of a task at a worker restarted under its id, when its agent does not know of that yet.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back by its worker, and its agent has prevented it by a stop
    When the leader is killed, and the worker restarts under its id just before the next leader's start, and then carries out the start held back
    Then the workers saw no broken rule

  Scenario: A late start reaches the next incarnation of its worker after a success
    # Guards against a start of a task that has succeeded, at a worker that restarted under its id and has seen no fencing token.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back by its worker, and its agent has prevented it by a stop
    And the task has succeeded in a later run, and its end is acknowledged
    When the worker restarts under its id, and carries out the start held back at once
    Then the workers saw no broken rule

  Scenario: A worker's process ends just before a new start, and a late one is carried out
    # Guards against a start that is sent to a process that its agent has not listed, beside a late one.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back by its worker, and its agent has prevented it by a stop
    When the leader is killed, and the worker's process ends and starts again under its id 10 ms before the next leader's start, and carries out the start held back
    Then the workers saw no broken rule

  Scenario: An order for an earlier incarnation arrives after a list of the next one
    # Guards against starts on a worker that is known to be another one than they were placed on.
    Given a leader and 1 agents whose workers may carry calls out late
    When the worker restarts under its id with 2 cores, its heartbeats come 3 s late, and a job of 4 cores is stored once the agent has called it
    Then the workers saw no broken rule

  Scenario: A late start has a higher fencing token than the worker's next incarnation
    # Guards against a fencing token that falls with the clock of a worker restarted under its id.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back by its worker, and its agent has prevented it by a stop
    And the task has succeeded in a later run, and its end is acknowledged
    When the worker restarts under its id, 60 s behind its earlier clock, and carries out the start held back after its agent has listed its runs
    Then the workers saw no broken rule

  Scenario: A late start has a higher fencing token than a restarted agent's
    # Guards against a fencing token that falls when an agent restarts and then its worker, whose clock starts anew.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back by its worker, and its agent has prevented it by a stop
    And the task has succeeded in a later run, and its end is acknowledged
    When agent and worker restart, the worker under its id and 60 s behind its earlier clock, and it carries out the start held back after the agent has listed its runs
    Then the workers saw no broken rule

  Scenario: A restarted agent's wall clock has gone back
    # Guards against an agent all of whose calls are refused after its clock went back.
    Given a leader and 1 agents whose workers may carry calls out late
    When the agent is restarted with a wall clock that is 3600 s behind
    Then a new job succeeds within 15 s

  Scenario: A worker has seen a token of its earlier incarnation
    # Guards against an agent all of whose calls are refused once a call for an earlier incarnation has brought a higher token.
    Given a leader and 1 agents whose workers may carry calls out late
    When the worker restarts under its id, 60 s behind its earlier clock, and its agent calls it before its first heartbeat arrives
    Then a new job succeeds within 15 s

  Scenario: The connection of a start breaks, and the start is carried out late
    # Guards against two runs of a task when the answer to a copy of a start counts for both.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back, its connection breaks, and the worker is unhealthy
    When the start held back is carried out during the next run of the task
    Then the workers saw no broken rule

  Scenario: The connection of a start breaks, and the next leader starts the task again
    # Guards against two runs of a task by leaders of two epochs at one worker, started some ms apart, the first of them stopped.
    Given a leader and 1 agents whose workers may carry calls out late
    And a start is held back, its connection breaks, and the worker is unhealthy
    When the leader is killed, and the start held back is carried out just before the next leader's start
    Then the workers saw no broken rule

  Scenario: A success is listed while a later start of the task is in doubt
    # Guards against a start of a task after its success is acknowledged.
    Given a leader and 2 agents whose workers may carry calls out late
    And a task succeeds at a worker that answers nobody until its leases have lapsed
    When that worker answers again, and the task's next start is carried out once the success is acknowledged
    Then the task does not start after the acknowledgement

  Scenario: The last attempt fails while its agent is given up
    # Guards against more failed runs of a task than its attempts, all of them acknowledged.
    Given a leader and 2 agents whose workers may carry calls out late
    And a task fails in its last attempt while its agent is frozen
    When the agent continues after 6.5 s
    Then the workers saw no broken rule

  Scenario: Random histories of late calls
    # Guards against two runs of a task, overfull workers and lost ends, when calls are late while processes freeze and leaders change.
    When the random histories 1 to 25 of late calls are played
    Then no rule was broken in any of them

  Scenario: Random histories of late calls and restarts of workers
    # Guards against the same where late calls reach the next incarnation of a worker.
    When the random histories 7 to 19 with restarts of workers are played
    Then no rule was broken in any of them

  Scenario: Random histories of late calls and broken connections
    # Guards against the same where connections break, and workers refuse calls as unhealthy.
    When the random histories 54 to 64 with broken connections are played
    Then no rule was broken in any of them

  Scenario: Random histories of late calls to workers of several kinds
    # Guards against starts at a worker that lacks the room, label or service, or has too many tasks of the step.
    When the random histories 1 to 20 with workers of many kinds are played
    Then no rule was broken in any of them
