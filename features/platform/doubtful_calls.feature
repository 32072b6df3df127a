Feature: An agent whose worker leaves calls unanswered and carries them out late

  Scenario: Neither a start nor its stop is answered
    # Guards against starts that stay in doubt, and are carried out, because stops are lost.
    Given an agent whose worker answers lists only
    When a start is ordered that gets no answer
    Then it is known never to have run
    And a list with a higher fencing token than that of the start was answered

  Scenario: A start without an answer was carried out
    # Guards against a run that counts as never started while it goes on.
    Given an agent whose worker answers lists only
    When a start is ordered that gets no answer, and is carried out
    Then its run counts as running

  Scenario: The token is raised while another start is on its way
    # Guards against runs that wait because a start was overtaken by a raised token.
    Given an agent whose worker answers lists only
    When two starts are ordered, one gets no answer and the other one is overtaken
    Then the other one was sent again, and runs

  Scenario: A start that was overtaken is to stop meanwhile
    # Guards against a cancelled job whose start is sent again after its stop.
    Given an agent whose worker answers lists only
    When two starts are ordered, one gets no answer, and the other one is to stop
    Then the other one is refused, and was sent once

  Scenario: The lease of a start ends before it is sent again
    # Guards against a start with a new lease that the leader does not count with.
    Given an agent whose worker answers lists only
    When two starts are ordered, one gets no answer, and the other one's lease ends
    Then the other one is refused, and was sent once

  Scenario: Starts wait behind others that get no answer
    # Guards against a start that is sent after it was ordered to stop.
    Given an agent whose worker answers lists only
    When 8 starts are ordered that get no answer, and all are to stop at once
    Then 4 starts were sent at most, and all are known never to have run

  Scenario: Stops that get no answer are ordered again and again
    # Guards against starts that wait behind the stops of an earlier order.
    Given an agent whose worker answers lists only
    When stops of 30 runs are ordered 5 times
    Then each of these runs has one stop in progress
    When a start is ordered that gets no answer
    Then it is known never to have run

  Scenario: A pace gets no answer
    # Guards against a run that stands still because an earlier pace is carried out last.
    Given an agent whose worker answers lists only
    When a run is paced to 0 percent without an answer, and then to 100 percent
    Then the last pace is 100 percent, with a higher fencing token than the first

  Scenario: Most lists get no answer
    # Guards against runs that lapse because an unanswered list holds up the next one.
    Given an agent whose worker answers each fourth list only
    Then 5 lists are answered within 10 s

  Scenario: The worker's process ends while a start is in doubt
    # Guards against a start that counts as never run while a next process may receive it.
    Given an agent whose worker answers lists only
    When a start is ordered that gets no answer, and the worker's port refuses connections
    Then the worker's runs count as lost, and the start is in doubt
    When its lease has certainly expired
    Then it is known never to have run

  Scenario: Calls that were sent before the leases have lapsed
    # Guards against a late start that renewed leases and an unchanged token let in.
    Given an agent whose worker answers lists only
    When it answers no list until the leases have certainly expired, and then does again
    Then its next list had a higher fencing token than those before

  Scenario: The worker requires a token far above the agent's
    # Guards against a worker that is lost for hours after a call to its predecessor.
    Given an agent whose worker requires a token 10000 s above its clock
    Then its runs are listed

  Scenario: The worker is replaced while it answers no list
    # Guards against calls to a worker that has ended, on a client that is closed.
    Given an agent whose worker answers lists only
    When it answers no list, and its next incarnation sends a heartbeat
    And the next incarnation answers lists at its address
    Then no further list is asked for with the earlier token
