Feature: The stand-ins implement the documented interfaces of the platform

  Scenario: A transaction whose condition no longer holds writes nothing
    # Guards against a store that ignores conditions, so that lost updates stay unseen.
    Given a store
    When "zones" is put on condition that it has version 0
    And "zones" is put again on condition that it has version 0
    Then only the first transaction succeeded and "zones" has version 1

  Scenario: An expired lease deletes its keys, and a watch sees both events
    # Guards against keys that outlive their lease and against deletes without an event.
    Given a store
    And a watch on "owner"
    When "owner" is put under a lease of 1 second
    Then the watch sees a PUT and then a DELETE of "owner"
    And renewing the lease returns no TTL

  Scenario: A watch from an old revision sees what was put before it opened
    # Guards against changes that are missed between a read and the watch after it.
    Given a store
    When "zones" is put on condition that it has version 0
    And a watch on "zones" is opened from that revision
    Then the watch sees a PUT of "zones"

  Scenario: An answer is lost after the write has taken effect
    # Guards against a fault switch that loses the write along with its answer.
    Given a store that loses the next answer to a write of "shard"
    When "zones" is put on condition that it has version 0
    And "shard" is put and no answer comes
    Then "shard" has version 1

  Scenario: An outage refuses calls and ends watches
    # Guards against watches that stay open while the store is down.
    Given a store
    And a watch on "zones"
    When the store goes down
    Then reading "zones" is refused with status 503 and code 14
    And the watch has ended

  Scenario: The rate limit refuses the writes beyond it
    # Guards against refused writes that take effect, and completed ones not recorded.
    Given a store that takes 2 writes a second
    When 20 writes are made in a row
    Then some writes are refused with status 429 and code 8
    And every write that was not refused is in the record

  Scenario: The sizes of values and transactions are limited
    # Guards against tests that pass with writes that the real store would refuse.
    Given a store
    Then a value of 1000001 bytes is refused and one of 1000000 is accepted
    And a transaction of 129 operations is refused and one of 128 is accepted

  Scenario: A task whose lease is not renewed lapses by itself
    # Guards against a task that runs on, or restarts, after its lease has expired.
    Given a worker
    When task "t-1" is started with command "hold" under a lease of 1 seconds
    Then task "t-1" becomes "lapsed" not before its lease ends, which is its recorded end
    And extending the lease of "t-1" does not restart it
    And starting "t-2" under an expired lease is refused as "lapsed"

  Scenario: Starting a task twice runs it once
    # Guards against a second run when a start is repeated because its answer was lost.
    Given a worker that loses its next answer
    When task "t-1" is started with command "hold" and no answer comes
    And task "t-1" is started with command "hold" again
    Then the second start answers 200 and one start is recorded

  Scenario: The worker refuses a task beyond its capacity
    # Guards against tasks that overbook a worker's cores.
    Given a worker
    When task "t-1" takes all cores
    Then starting "t-2" with 1 core is refused as "full" until "t-1" is stopped

  Scenario: A task resumed from its checkpoint runs only for the remaining time
    # Guards against a task that starts from the beginning in spite of its checkpoint.
    Given a worker
    When task "t-1" with command "sleep:30" is started from checkpoint "29.9"
    Then task "t-1" becomes "succeeded" within 5 seconds

  Scenario: Usage is reported with a lag
    # Guards against usage that includes a task earlier than the platform would show it.
    Given a worker
    When task "t-1" is started with command "hold" under a lease of 60 seconds
    Then the usage includes "t-1" only in measurements after its start

  Scenario: An endpoint counts requests, truncates answers and resumes its events
    # Guards against miscounted runs, which other tests use to detect duplicates.
    Given an endpoint
    Then a request is echoed and counted by its request id
    And a truncated answer is reported as incomplete
    And events resume after the last event id

  Scenario: Open connections go silent while new ones work
    # Guards against a link whose silence also closes or blocks connections.
    Given an endpoint behind a link
    And an open event stream through the link
    When the link goes silent
    Then the stream receives nothing more while a new request through the link is answered
    And the stream has not ended

  Scenario: Bytes that the link holds back are delivered on release
    # Guards against a link that loses the bytes that it only has to delay.
    Given an endpoint behind a link
    And an open event stream through the link
    When the link holds bytes back while a request is made
    Then the request is answered after the release

  Scenario: A process is frozen, thawed and stopped by its own pid
    # Guards against a harness that signals the wrong process, or none.
    Given an endpoint
    When it is frozen
    Then a request gets no answer until it is thawed
    And it exits with 0 when asked to stop

  Scenario: A killed worker restarts on its port and its record file survives
    # Guards against a record that loses the starts before a kill.
    Given a worker that keeps its record in a file
    When task "t-1" takes all cores
    And the worker is killed and started again
    Then it answers on the same port without tasks and its file still shows "t-1"

  Scenario: A change at the instant at which a watch ends is not missed
    # Guards against a configuration change that is committed between the timeout of a
    # watch and its answer, and that neither this watch nor the next one returns.
    Given a platform store in this process
    When a change is written at the instant at which a watch of 2 s ends
    Then the change is returned by that watch, or by the next from its revision
