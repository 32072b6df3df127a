Feature: A leader that takes long to restore the stored jobs

  Scenario: A larger entry comes back while a smaller one restores
    # Guards against an entry that stays leader although it is not able to act yet.
    Given 3 entries on virtual time, the first of them 4 times as large, which leads
    When the large entry dies, and the list of jobs takes the others 60 s
    And another entry claims
    And the large entry comes back
    Then it leads within 4 s

  Scenario: Agents wait while a leader restores
    # Guards against agents that repeat refused reports without a pause.
    Given 3 entries on virtual time, the first of them 4 times as large, which leads
    When the large entry dies, and the list of jobs takes the others 3 s
    And another entry claims
    And it has restored the stored jobs
    Then each agent was refused 25 times at most
    And each agent has reported within 0.05 s

  Scenario: An entry learns who leads before it has read the store
    # Guards against a leader that may not act while the store is away, for want of the
    # Guards against a leader that may not act while the store is away, for want of the
    # Guards against a leader that can't renew its lease while the store is down,
    # because an entry that has just started gives no promise.
    Given 3 entries on virtual time, the first of them 4 times as large, which leads
    When a small entry dies, comes back and learns at once who leads
    Then it gives the leader its promise within 1 s

  Scenario: Large records change together
    # Guards against a write that exceeds its time limit and is repeated without end.
    Given a leader whose store answers no write of several records above 200000 bytes
    When 20 jobs have a run that ends with 30000 bytes of checkpoint
    Then the progress of each of them is stored

  Scenario: Ended jobs add little to what a new leader reads
    # Guards against a restore that takes longer for each job that has ended lately.
    Given a leader of 40 jobs with specs of 2000 bytes
    When 30 of the jobs succeed and 5 are cancelled
    Then the store holds 20000 bytes of jobs at most once all that is stored
    And a new leader knows the specs of the 5 that are open, and the steps of all

  Scenario: A restoring leader does not know that it was replaced
    # Guards against an agent that keeps following a leader which was replaced.
    Given 3 entries on virtual time, the first of them 4 times as large, which leads
    When the large entry dies, and the list of jobs takes the others 60 s
    And another entry claims
    And it is cut off from the store and the entries, and the third one leads
    Then an agent that was not notified reports to it within 3 s

  Scenario: A record that the store never accepts
    # Guards against ends that are never acknowledged because another can't be stored.
    Given a leader whose store answers no write above 200000 bytes
    When a job's run ends with 300000 bytes of checkpoint and 20 others with 10 bytes
    Then the progress of the 20 others is stored within 10 s

  Scenario: A record that is larger than the values that the store takes
    # Guards against ends that are never acknowledged because their job's checkpoints are too long.
    Given a leader whose store takes values of 200000 bytes at most
    When a job of 3 tasks has a run that succeeds and two with 150000 bytes of checkpoint
    Then its end is stored within 10 s, with the checkpoint of 1 task
    And the end is acknowledged

  Scenario: Many records wait for the store to answer again
    # Guards against one write for each record after an outage.
    Given a leader whose store answers no write above 200000 bytes
    When 40 jobs have a run that ends, and 12 writes are not answered
    And the store accepts all writes again
    Then the progress of each of them is stored with 8 writes at most

  Scenario: Reports with checkpoints arrive over a slow link
    # Guards against lapsed runs: all reports together take longer than one may take.
    Given 3 entries on virtual time with 56 agents, each of which runs 40 tasks
    And each task has a checkpoint of 1000 bytes, and entries receive 625000 bytes a second
    When the leader of all of them dies
    Then none of the runs has lapsed after 10 s
