Feature: An agent whose worker does not answer

  Scenario: Connections to a worker behind a network are refused
    # Guards against duplicate runs when refused connections are taken for a dead worker.
    Given an agent whose worker listens at another address than its VM's
    When the worker runs a task and its port refuses 5 connections
    Then the task still counts as running
    When the leases have certainly expired
    Then the task counts as lost

  Scenario: The worker's process on the agent's own VM has ended
    # Guards against tasks that wait for a lease to expire although the worker has exited.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost

  Scenario: A worker whose process has ended gets no starts
    # Guards against tasks that never run again because a dead worker gets the starts.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost
    And the worker counts as silent
    When a start is ordered
    Then that start is refused at once

  Scenario: A start was ordered for an earlier incarnation of the worker
    # Guards against runs on a new, smaller worker that were placed on the one before.
    Given an agent whose worker listens at its VM's address
    When a start is ordered for the worker's earlier incarnation
    Then that start is refused at once

  Scenario: A start is ordered while an earlier run of its task goes on at the worker
    # Guards against two runs of a task on one worker.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and the next run of that task is ordered
    Then that start is refused at once

  Scenario: The log tells what a worker is capable of
    # Guards against starts on a worker of another size or kind that no log line explains.
    Given an agent whose worker listens at its VM's address
    When the worker is replaced by one of 4 cores, of kind "b"
    Then the log says that a worker of 4 cores and of kind "b" began

  Scenario: A late leave of a worker's earlier incarnation does not end its present one
    # Guards against duplicate runs when an earlier incarnation's leave arrives late.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a leave of its earlier incarnation arrives
    Then the task still counts as running
    When the leave of its present incarnation arrives
    Then the task still counts as running
    When its process ends
    Then its worker has left

  Scenario: A worker that has announced its leave continues
    # Guards against duplicate runs when a worker gets no acknowledgement of its leave and runs on for seconds.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and the leave of its present incarnation arrives
    Then the task still counts as running
    And the worker is told to stop the task
    And no list renews its leases any more
    When a start is ordered
    Then that start is refused at once
    When the worker lists that the task has stopped
    Then the task counts as ended
    When its process ends
    Then its worker has left

  Scenario: A worker that has announced its leave does not end
    # Guards against a VM that stays without a worker because the one before runs nothing, and goes on.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and the leave of its present incarnation arrives
    And a heartbeat of another worker arrives
    Then the task still counts as running
    And "i-1" is still the worker of this VM
    When the worker lists that the task has stopped
    Then the task counts as ended
    And "i-1" is still the worker of this VM
    When the end is acknowledged, and the worker lists nothing any more
    Then "i-2" is the worker of this VM

  Scenario: A worker that has announced its leave can't be reached
    # Guards against duplicate runs when a worker leaves behind a network that refuses connections.
    Given an agent whose worker listens at another address than its VM's
    When the worker runs a task and the leave of its present incarnation arrives
    And its port refuses 5 connections
    Then the task still counts as running
    When the leases have certainly expired
    Then its worker has left

  Scenario: A worker at another address of the agent's VM leaves and ends
    # Guards against tasks that wait for leases to lapse although their worker has left and nobody listens at its port.
    Given an agent whose worker listens at another address of its VM
    When the worker runs a task and the leave of its present incarnation arrives
    And its process ends
    Then its worker has left

  Scenario: What listens at another address of the agent's VM refuses, and the worker has not said that it leaves
    # Guards against duplicate runs when a process that relays to a living worker is taken for the worker.
    Given an agent whose worker listens at another address of its VM
    When the worker runs a task and its port refuses 5 connections
    Then the task still counts as running
    When the leases have certainly expired
    Then the task counts as lost

  Scenario: A worker at another address of the agent's VM has announced its leave, and continues
    # Guards against duplicate runs when such a worker gets no acknowledgement of its leave and runs on for seconds.
    Given an agent whose worker listens at another address of its VM
    When the worker runs a task and the leave of its present incarnation arrives
    Then the task still counts as running
    And the worker is told to stop the task
    And no list renews its leases any more

  Scenario: A worker of another VM, at an address that both VMs have, leaves
    # Guards against duplicate runs when the leave of another VM's worker counts for the own one, which is not heard yet.
    Given an agent that has heard a worker of another VM, at an address that both have
    When the leave of that worker arrives, and its address refuses 5 connections
    Then its worker does not count as having left

  Scenario: A worker that has left is heard again
    # Guards against a worker that counts as present for as long as its late heartbeats arrive.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and the leave of its present incarnation arrives
    And its process ends
    Then its worker has left
    When a heartbeat of the worker that has left arrives
    Then its worker has left

  Scenario: Another worker is heard before the present one has ended
    # Guards against duplicate runs when a heartbeat counts as the end of the worker before.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a heartbeat of another worker arrives
    Then the task still counts as running
    And "i-1" is still the worker of this VM
    When its process ends
    Then "i-2" is the worker of this VM

  Scenario: Another worker answers at the address of the one before
    # Guards against tasks that wait for leases to expire although the next worker has begun.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a heartbeat of another worker arrives
    And another worker answers at its address
    Then "i-2" is the worker of this VM

  Scenario Outline: The wall clock is set back before the next worker begins, which has <whose> id
    # Guards against a VM without a worker, for its next one always seems to be an earlier one.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its process ends
    And the next worker "<id>" begins there, born earlier by its clock
    Then the worker born then is the worker of this VM
    And the runs of that worker are known

    Examples:
      | whose     | id  |
      | another   | i-2 |
      | the same  | i-1 |

  Scenario: A late heartbeat of an earlier worker arrives between the present one and the next
    # Guards against a VM that waits for leases of a worker that ended before.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its process ends
    And a heartbeat of an earlier worker arrives
    And a next worker "i-2" begins there, born later
    Then "i-2" is the worker of this VM
    And the runs of that worker are known

  Scenario: A late heartbeat of an earlier worker arrives
    # Guards against a worker that is doubted, or replaced, because of such a heartbeat.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a heartbeat of an earlier worker arrives
    Then "i-1" is still the worker of this VM
    And the task still counts as running

  Scenario: A worker of another VM was heard long ago
    # Guards against a VM that waits for a stranger's worker once its own has ended.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a heartbeat of another worker arrives
    And 4 s pass without another heartbeat
    And its process ends
    Then the task counts as lost
    And "i-1" is still the worker of this VM
    When a heartbeat of a third worker arrives
    Then "i-3" is the worker of this VM

  Scenario: A worker of another VM is heard first
    # Guards against an agent that ignores its own worker for as long as a stranger's heartbeat has the later birth time.
    Given an agent that has heard a worker, born later, whose address refuses connections
    When a heartbeat of its own worker arrives
    And the leases have certainly expired
    And a heartbeat of its own worker arrives
    Then "i-1" is the worker of this VM
    And the runs of that worker are known

  Scenario: A worker of another VM is heard with ever later birth times
    # Guards against a VM whose own worker waits for as long as such heartbeats go on.
    Given an agent that has heard a worker, born later, whose address refuses connections
    When its own worker and that one are heard for 14 s, the latter born later each second
    Then "i-1" is the worker of this VM
    And the runs of that worker are known

  Scenario: Heartbeats of a worker of another VM name a later birth each time
    # Guards against a VM whose next worker never begins because a stranger's heartbeat always seems to be the later one.
    Given an agent whose worker listens at its VM's address
    When its process ends, and such heartbeats arrive beside those of the next worker for 12 s
    Then "i-2" is the worker of this VM
    And the runs of that worker are known

  Scenario Outline: The address <address> <what>
    # Guards against a refusal by another VM that is taken for one of the agent's own VM.
    Then the address "<address>" <what>

    Examples:
      | address         | what                             |
      | 127.0.0.1       | belongs to this VM               |
      | 127.9.8.7       | belongs to this VM               |
      | 198.51.100.7    | does not belong to this VM       |
      | 0.0.0.0         | does not belong to this VM       |
      | 224.0.0.1       | does not belong to this VM       |
      | 255.255.255.255 | does not belong to this VM       |
      | worker-host     | does not belong to this VM       |
      | ::1             | does not belong to this VM       |

  Scenario: The addresses of this VM's interfaces belong to it
    # Guards against leases that are waited for because an address of this VM is not known as such.
    Then each address that the kernel uses as a source belongs to this VM

  Scenario: A burst of orders to a worker
    # Guards against a connection opened for each order of a burst, and closed after it.
    Given a worker that counts the connections to it
    When 30 runs are started at one time, three times in a row
    Then all of them have started
    And 4 connections were opened at most

  Scenario: A kept connection is closed before a start is answered
    # Guards against a second copy's refusal that is taken for the answer to the first.
    Given a worker that closes a kept connection after it has received a start
    When a run is started on that connection
    Then the start was received once
    And its outcome is unknown

  Scenario Outline: A worker answers a start with status <code>
    # Guards against a start that counts as refused although it may be carried out.
    Given a worker that answers starts with status <code>
    When a run is started
    Then its outcome is <outcome>

    Examples:
      | code | outcome   |
      | 200  | started   |
      | 400  | refused   |
      | 408  | unknown   |
      | 421  | another   |
      | 429  | refused   |
      | 500  | unknown   |
      | 502  | unknown   |
      | 503  | refused   |
      | 504  | unknown   |

  Scenario Outline: A worker lists a run <when>
    # Guards against duplicate runs: a worker that has stood still may list once more what has lapsed meanwhile.
    Given a worker that has listed a run each 0.5 s from 10 s to 20 s
    When it lists the run again at <time> s
    Then that list <shows> that the run was in progress before it

    Examples:
      | when                     | time | shows         |
      | as before                | 20.5 | shows         |
      | after it has stood still | 26.0 | does not show |
