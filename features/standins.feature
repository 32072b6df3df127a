Feature: The stand-ins serve what the platform page lists

  Scenario: A transaction whose condition no longer holds writes nothing
    Given a store
    When "zones" is put on condition that it has version 0
    And "zones" is put again on condition that it has version 0
    Then only the first transaction succeeded and "zones" has version 1

  Scenario: Expiry of a lease deletes its keys, and a watch sees both events
    Given a store
    And a watch on "owner"
    When "owner" is put under a lease of 1 second
    Then the watch sees a PUT and then a DELETE of "owner"
    And renewing the lease answers no TTL

  Scenario: A watch from an old revision sees what was put before it opened
    Given a store
    When "zones" is put on condition that it has version 0
    And a watch on "zones" is opened from that revision
    Then the watch sees a PUT of "zones"

  Scenario: An answer is lost after the write has taken effect
    Given a store that loses the next answer to a write of "shard"
    When "zones" is put on condition that it has version 0
    And "shard" is put and no answer comes
    Then "shard" has version 1

  Scenario: An outage refuses calls and cuts watches
    Given a store
    And a watch on "zones"
    When the store goes down
    Then reading "zones" is refused with status 503 and code 14
    And the watch has ended

  Scenario: The rate limit refuses the writes beyond it
    Given a store that takes 2 writes a second
    When 20 writes are made in a row
    Then some writes are refused with status 429 and code 8
    And every write that was not refused is in the record

  Scenario: The sizes of values and transactions are limited
    Given a store
    Then a value of 1000001 bytes is refused and one of 1000000 is taken
    And a transaction of 129 operations is refused and one of 128 is taken

  Scenario: A task whose lease is not renewed lapses by itself
    Given a worker
    When task "t-1" is started with command "hold" under a lease of 1 seconds
    Then task "t-1" becomes "lapsed" not before its lease and its end is recorded at it
    And lengthening the lease of "t-1" does not revive it
    And starting "t-2" under a lease that has passed is refused as "lapsed"

  Scenario: Starting a task twice runs it once
    Given a worker that loses its next answer
    When task "t-1" is started with command "hold" and no answer comes
    And task "t-1" is started with command "hold" again
    Then the second start answers 200 and one start is recorded

  Scenario: The worker refuses what it cannot hold
    Given a worker
    When task "t-1" takes all cores
    Then starting "t-2" with 1 core is refused as "full" until "t-1" is stopped

  Scenario: A task resumed from its checkpoint sleeps only the rest
    Given a worker
    When task "t-1" with command "sleep:30" is started from checkpoint "29.9"
    Then task "t-1" becomes "succeeded" within 5 seconds

  Scenario: Usage lags behind
    Given a worker
    When task "t-1" is started with command "hold" under a lease of 60 seconds
    Then the usage shows "t-1" only as of an instant after its start

  Scenario: An endpoint counts runs, cuts answers and resumes its events
    Given an endpoint
    Then a request is echoed and counted by its request id
    And a cut answer is seen as not whole
    And events resume after the last event id

  Scenario: Open connections go silent while new ones work
    Given an endpoint behind a link
    And an open event stream through the link
    When the link goes silent
    Then the stream receives nothing more while a new request through the link is answered
    And the stream has not ended

  Scenario: A held answer is delivered late
    Given an endpoint behind a link
    And an open event stream through the link
    When the link holds bytes back while a request is made
    Then the request is answered after the release

  Scenario: A process is frozen, thawed and stopped by its own pid
    Given an endpoint
    When it is frozen
    Then a request gets no answer until it is thawed
    And it exits with 0 when asked to stop

  Scenario: A killed worker starts again on its port and its record outlives it
    Given a worker that keeps its record in a file
    When task "t-1" takes all cores
    And the worker is killed and started again
    Then it answers on the same port without tasks and its file still shows "t-1"

  Scenario: A change that falls on the end of a watch is not passed over
    # Guards against a configuration change that is missed as a watch ends.
    Given a store of the platform in this process
    When a change is written at the instant at which a watch of 2 s ends
    Then the change is shown by that watch, or by the next from the revision it named
