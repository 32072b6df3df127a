Feature: Separate processes run jobs over the platform's protocols

  Scenario: A job of two steps runs in order and is shown at every entry
    # Guards against steps that start before those they depend on, or run twice.
    Given a deployment of 2 entries and 2 agents
    When a job of 3 tasks and then 2 tasks is submitted at entry 1
    Then it is shown as "done" at entry 2
    And each of its 5 tasks was started once, the second step after the first
    And the queue shows 0 waiting at entry 1

  Scenario: Unknown queues, unknown ids and invalid bodies have different answers
    # Guards against callers that retry what can never succeed.
    Given a deployment of 1 entry and 1 agent
    Then a submission to an unknown queue is answered 404
    And the state of an unknown job is answered 410
    And its cancellation is answered 410
    And a body that is no job is answered 400
    And a body of 300000 bytes is answered 413

  Scenario: A job whose tasks fail is shown as failed
    # Guards against a failing task that is retried without limit or only once.
    Given a deployment of 1 entry and 1 agent
    When a job of 1 task that fails is submitted at entry 1
    Then it is shown as "failed" at entry 1
    And its task was started 3 times

  Scenario: A cancelled job stops, and stays cancelled at every entry
    # Guards against runs that go on after their job was cancelled at another entry.
    Given a deployment of 2 entries and 1 agent
    When a job of 2 tasks of 30 s is submitted at entry 1 and runs
    And it is cancelled at entry 2
    Then nothing of it runs within 2 s
    And it is shown as "cancelled" at entry 1

  Scenario: A queue that the operator adds is served, one that is removed is not
    # Guards against entries that keep serving an old configuration.
    Given a deployment of 2 entries and 1 agent
    When the operator adds queue "builds" and removes queue "holds"
    Then within 2 s both entries serve "builds" and answer 404 for "holds"

  Scenario: No task starts in an availability zone that was taken out
    # Guards against tasks placed in a zone after the operator has taken it out.
    Given a deployment of 1 entry and 2 agents
    When zone "zilina-b" is taken out and the agents know it
    And a job of 4 tasks and then 1 task is submitted at entry 1
    Then it is shown as "done" at entry 1
    And all of it ran on worker 1

  Scenario: Metrics and the state dump are served
    # Guards against a process whose state operators can't see.
    Given a deployment of 1 entry and 1 agent
    Then the metrics of entry 1 count calls to the store
    And the state dump of entry 1 names its node

  Scenario: A queue whose steps only some workers may run
    # Guards against a job that never starts although a worker has a ticket for it.
    # An advised queue's steps need tickets: the advice service's permits, one per worker.
    Given a deployment of 1 entry and 2 agents
    And the operator adds the advised queue "advised"
    When the advice service grants tickets for worker 2 only
    And a job of 3 tasks that need tickets is submitted to that queue
    Then all its tasks are started at worker 2, and it is done
