Feature: What an agent concludes from its worker's silence

  Scenario: Connections to a worker behind a network are refused
    # A task was seen running on two VMs. Something between the agent and its worker
    # refused connections, the agent took three refusals for the end of the worker's
    # process and reported its runs as lost, and the leader started them elsewhere,
    # while the worker ran on under its leases.
    Given an agent whose worker listens at another address than its VM's
    When the worker runs a task and its port refuses 5 connections
    Then the task still counts as running
    When the leases have surely run out
    Then the task counts as lost

  Scenario: The process of a worker on the agent's own VM is gone
    # The kernel of the VM itself refuses: nobody listens, so the worker's process has
    # ended with all that it ran, and its tasks need not wait for their leases.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost

  Scenario: A worker whose process is gone is given nothing
    # Tasks of a crashed worker never ran again. Its runs were given up at once, so that
    # the same VM looked free; they were started there, nobody answered, and the starts
    # were in doubt for as long as the worker did not come back.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost
    And the worker counts as silent
    When a start is ordered
    Then that start is refused at once

  Scenario: A worker's leave is held up until its next life runs work
    # A task was taken for gone and started elsewhere while it went on. A worker left
    # and came back under its name; the word that it leaves arrived last.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a leave of its earlier life arrives
    Then the task still counts as running
    When the leave of its present life arrives
    Then its worker has left
