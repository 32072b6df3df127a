Feature: One leader after the other, and at most one run of a task

  Scenario: Two entries see the leader die at the same moment
    # After a power loss several entries decided at once to replace the leader, and each
    # claimed over the one that had just begun: two runs of a task started 60 ms apart.
    # A claim was tied to what the store showed last, not to what it was decided on.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies while one entry's calls to the store take 0.1 s more
    And 6 s pass
    Then one claim was made

  Scenario: A leader that has just claimed does not know it yet
    # An entry's claim is stored and the answer is on its way. Another entry reads the
    # store, asks the new leader, hears of the epoch before, and takes its process for
    # dead: it claims over a leader that begins.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies, and the answer to the next claim is 0.95 s on its way
    And 6 s pass
    Then one claim was made

  Scenario: A hand-over that comes late
    # A leader lays down its office; one entry hears of it when another one leads
    # already. The word is about the epoch before, and is no ground to claim the next.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader lays down its office, and the word of it reaches one entry late
    And 6 s pass
    Then one claim was made

  Scenario: A leader whose calls are refused has nobody's word
    # A leader is cut from all, and the cut refuses connections. It counted each refusal
    # as the word of an entry not to claim and went on for ever, while others claimed.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut from the store and, with refusals, from all other entries
    And 3 s pass
    Then the leader may not act any more

  Scenario: Runs end after a leader that may not act
    # A leader and an agent are cut off together. The leader may not act, but answered
    # reports, and each answer let the agent's runs go on: a new leader gave them up
    # and started their tasks elsewhere while they still ran.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, in silence
    Then the task ends within 8 s of the leader's last renewal

  Scenario: An order is taken between a report and its answer
    # The old leader's order reaches an agent after it has made its report to the new
    # leader, and before the answer. The new leader counted the agent as heard, with
    # nothing running, and started the task elsewhere.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop while an order is on its way, and the agent takes it between its report to the next leader and the answer
    Then no task runs in two places in 8 s

  Scenario: A leader and its agent are cut off together, with refusals
    # A zone is cut off with resets, the leader in it. A refused connection was taken
    # for a dead leader; the next one claimed at once and waited for the agents from
    # then on, while the old leader still let its agents' runs go on.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    Then no task runs in two places in 15 s
    And the task runs elsewhere within 1 s

  Scenario: A leader on a refusal hands over at once
    # A zone is cut off with refusals, its leader in it. The next leader is told to stop
    # right after its claim. The third one knows that the second acts no more; the first
    # may, and its agents' runs have to be waited for as long as before.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    And another entry leads
    And that one lays down its office
    Then no task runs in two places in 15 s

  Scenario: A job that both leaders know is started by one
    # The old leader is cut off with an agent and may still act when a job comes. The
    # new leader waited for its agents with the jobs it found, but not with new ones.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And a task runs
    When the leader and the task's agent are cut from everything else, with refusals
    And another entry leads
    And a job is stored and the old leader is told of it too
    Then no task runs in two places in 15 s

  Scenario: Two entries that refuse each other and both reach the store
    # Each saw the other's port refuse, took it for dead and claimed, again and again;
    # meanwhile neither led for long enough to start anything.
    Given 2 entries and 1 agents on virtual time, one of which leads
    When the entries are cut from each other, with refusals
    And 10 s pass
    Then no claim was made

  Scenario: A leader of long standing whose port refuses is replaced at once
    # The leader's process dies and its port refuses connections. To wait until its beat
    # had stood still kept starts waiting for a second more at each such death.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    When the leader dies
    Then another entry leads within 0.6 s

  Scenario: Two entries of which one has led for long refuse each other
    # Both reach the store. One claim on a refusal may be in vain; the next ones wait
    # for the beat, or the two would go on to take the office from each other.
    Given 2 entries and 1 agents on virtual time, one of which leads
    And it has led for long
    When the entries are cut from each other, with refusals
    And 30 s pass
    Then at most one claim was made

  Scenario: An agent that was started again does not go back to the old leader
    # The new leader has heard an agent; its process dies, and the next one knows of no
    # epoch. The old leader may still act, and was followed again.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is cut from the other entries and the store, but not from agents
    And another entry leads
    And an agent that the new leader has heard dies, and asks the old one first
    Then the agent carries out no order of the old leader

  Scenario: A leader is told to stop, its port closes, and an order is on its way
    # The port of a leader that stops refuses connections while its last orders are
    # under way. They must not start what the next leader starts elsewhere.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and its port closes, an order still on its way
    Then no task runs in two places in 8 s

  Scenario: A leader that stops is replaced although its word is lost
    # A leader that was told to stop says so to the other entries. Where that does not
    # reach them, work waited until its beat had stood still for seconds.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is told to stop and no word of it reaches another entry
    Then another entry leads within 1.5 s

  Scenario: An entry is told to stop while its claim is under way
    # The office came to an entry that was stopping already. It led on without a word
    # until its process ended, and starts stood still until it was found dead.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader dies, and the answer to the next claim is 0.95 s on its way
    And the entry that claims is told to stop meanwhile
    Then a third entry leads within 2 s

  Scenario: A leader gives up an agent that has gone over to the next leader
    # An agent is out of touch with its leader; then both are on different sides of a cut.
    # The next leader renews its runs, and the old one, which may still act, takes their
    # leases for lapsed and starts the task on its own side.
    Given 3 entries and 2 agents on virtual time, one of which leads
    And it has led for long
    And a task runs
    When its agent is out of the leader's touch for 3.9 s
    And then the leader and the free agent are cut off from all others, with refusals
    Then no task runs in two places in 10 s

  Scenario: An agent reports before its worker has told it what runs
    # A new leader gives up the runs of an agent that it hears of late. Each answer to a
    # report that lists nothing let runs go on that the leader did not know of.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When an agent that does not know yet what runs has reported for 2 s
    Then no answer counts for its runs

  Scenario: An entry that was started again gives no word before it knows who leads
    # Its earlier life had led and was heard by agents. The next one knew of no epoch and
    # gave the leader of before, away from the store, its word not to claim: that one
    # came back to act beside whatever the newer leader had begun.
    Given 2 entries and 2 agents on virtual time, one of which leads
    When the other entry is started again, and neither reaches the store
    And 3 s pass
    Then the leader may not act any more

  Scenario: A connection to an earlier life of the leader's process
    # The leader's VM loses power and its process comes back and leads again. An entry
    # whose connection to the earlier life looks open took the new leader for one whose
    # process was replaced, and claimed over it.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader's VM loses power, and an entry's connection to it looks open
    And the leader's process is back and leads again
    And 2 s pass
    Then one claim was made

  Scenario: A leader that has not read who the others are
    # A leader away from the store acts by the word of each other entry. One that had not
    # read yet which there are had nobody's word to ask for, and acted for ever.
    Given 3 entries and 2 agents on virtual time, one of which leads
    When the leader is started again, leads, and is cut off at once with refusals
    And 3 s pass
    Then the leader may not act any more

  Scenario: Random histories with changes of leaders
    # Entries, agents, the store and the network fail in an order that the seed decides:
    # deaths, stops, cuts with refusals and in silence, messages and answers late or
    # lost. No task may run in two places, and once all is whole again work must start.
    When 40 random histories with changes of leaders are played
    Then no task ran in two places, and work started again after each
