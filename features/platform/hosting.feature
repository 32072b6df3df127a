Feature: What an agent concludes from its worker's silence

  Scenario: Connections to a worker behind a network are refused
    # Guards against duplicate runs when refused connections pass for a dead worker.
    Given an agent whose worker listens at another address than its VM's
    When the worker runs a task and its port refuses 5 connections
    Then the task still counts as running
    When the leases have surely run out
    Then the task counts as lost

  Scenario: The process of a worker on the agent's own VM is gone
    # Guards against tasks that wait for their leases although their worker has exited.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost

  Scenario: A worker whose process is gone is given nothing
    # Guards against tasks that never run again because a dead worker gets them.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and its port refuses 5 connections
    Then the task counts as lost
    And the worker counts as silent
    When a start is ordered
    Then that start is refused at once

  Scenario: A worker's leave is held up until its next life runs work
    # Guards against duplicate runs when a leave of a past incarnation arrives late.
    Given an agent whose worker listens at its VM's address
    When the worker runs a task and a leave of its earlier life arrives
    Then the task still counts as running
    When the leave of its present life arrives
    Then its worker has left
