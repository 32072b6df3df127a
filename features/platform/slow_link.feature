Feature: Slow answers of the store

  Scenario: A new leader reads a long list of jobs over a slow link
    # Guards against a leader that never completes its restore, so that no work starts.
    Given a deployment of 2 entries and 1 agent
    And 400 jobs of 2500 bytes that have ended are stored
    When the leader is killed while lists leave the store at 500000 bytes a second
    Then a job submitted at the other entry is shown as "done" within 12 s

  Scenario: A list takes longer than a call may be silent
    # Guards against lists that are aborted by a time limit on the whole transfer.
    Given a store that holds 900 keys of 1000 bytes
    When lists leave it at 600000 bytes a second
    Then all 900 keys are listed although a call may be silent for 0.5 s only

  Scenario: A list stops in the middle
    # Guards against waiting without end for the rest of an answer.
    Given a store that holds 900 keys of 1000 bytes
    When lists stop after 300000 bytes
    Then a list is given up within 2 s where a call may be silent for 0.5 s

  Scenario: A later page of a list is refused
    # Guards against a list that restarts with each lost page and never ends.
    Given a store that holds 900 keys of 1000 bytes
    When it refuses each page after the first one twice
    Then all 900 keys are listed although a call may be silent for 0.5 s only
    And the first page was asked for once

  Scenario: Many changes arrive together
    # Guards against a watch that is aborted each time while its events arrive.
    Given a store that holds 900 keys of 1000 bytes
    When lists leave it at 600000 bytes a second
    Then a watch that waits for 0.2 s delivers all 900 keys

  Scenario: A configuration takes long to arrive
    # Guards against an entry that never reads its queues and refuses all callers.
    Given a store that holds a configuration of 900000 bytes
    When lists leave it at 600000 bytes a second
    Then the configuration is known to a process where a call may be silent for 0.5 s

  Scenario: A list is cancelled by its caller
    # Guards against errors that are logged for each part of an unwanted answer.
    Given a store that holds 900 keys of 1000 bytes
    When lists leave it at 200000 bytes a second
    And a list is cancelled after 0.3 s
    Then nothing more is logged about it

  Scenario: A store stops answering many callers
    # Guards against a renewal that waits behind reads that were given up.
    Given a store that holds 900 keys of 1000 bytes
    When lists stop after 300000 bytes
    And 48 lists are given up where a call may be silent for 0.5 s
    Then a write is answered within 2 s
