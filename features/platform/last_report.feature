Feature: An agent that is told to stop reports once more what it knows

  Scenario: An agent is told to stop just after a run's end
    # Guards against a next step that waits for the agent's restart because the end was listed, or reported, too late.
    Given a deployment of 1 entry and 2 agents
    When a task ends while its agent stands still, and the agent is told to stop and goes on
    Then the next step runs on another worker within 3 s of that end
    And that agent ends by itself within its grace period
    And no task ran twice at the same time

  Scenario: An agent is told to stop with a start in flight that is refused then
    # Guards against a task that waits for the agent's restart because the outcome of its start was not told.
    Given a deployment of 1 entry and 2 agents
    When an agent is told to stop while its worker takes 0.3 s to refuse a start
    Then the refused task runs on another worker within 3 s of that end
    And that agent ends by itself within its grace period
    And no task ran twice at the same time

  Scenario: An agent with something to tell is told to stop, and neither leader nor worker answers
    # Guards against a stop that waits for others beyond its limit.
    Given a deployment of 1 entry and 1 agent
    When a task ends while its agent stands still, and leader and worker answer no more
    And the agent is told to stop and goes on
    Then that agent ends by itself within 2.5 s

  Scenario: An agent with nothing to tell is told to stop, and the leader does not answer
    # Guards against stops that wait for a leader to whom there is nothing to tell.
    Given a deployment of 1 entry and 1 agent
    When the leader stands still, and the agent is told to stop
    Then that agent logs its end within 0.7 s of its stop

  Scenario: Starts are ordered while an agent that is told to stop waits for its worker's list
    # Guards against a start that is carried out, or forgotten, between the last list and the end.
    Given a leader and 2 agents whose workers may carry calls out late
    When an agent is told to stop, its worker answers after 0.5 s, and 4 tasks are submitted meanwhile
    Then the agent was ordered a start, and has ended
    And all 4 tasks run on the other worker within 3 s

  Scenario: Random histories of agents that are told to stop
    # Guards against two runs of a task because a last report denies a start that is still carried out.
    When the random histories 1 to 20 with stops of agents are played
    Then no rule was broken in any of them
