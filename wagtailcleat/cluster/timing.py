"""Intervals, leases and time limits between entries, agents, workers and the store.

A leader relies on all agents using the same values as it does.
"""

LEADER_LEASE_SECONDS = 2.2
"""How long a leader may act after a renewal, counted from when it was sent.

A silent leader is replaced after this time. If the store does not answer for longer,
no runs are started unless every other entry promises not to claim.
"""
CLAIM_AFTER_SECONDS = 2.5
"""How long the leader's heartbeat must be unchanged before another entry claims.

Longer than `LEADER_LEASE_SECONDS` by more than the clocks drift in that time.
"""
REFUSED_CLAIM_AFTER_SECONDS = 0.8
"""The same if the leader's port refuses connections.

Longer than `RENEWAL_INTERVAL_SECONDS`: otherwise two entries that refuse each other's
connections because of a partition, and that both reach the store, would replace each
other again and again. How long a new leader waits does not depend on this value.
"""
SILENT_CLAIM_AFTER_SECONDS = 1.2
"""The same if the leader answers no probe: two renewals are missing.

Longer than a renewal takes while the store answers 60 times more slowly than usual.
How long a new leader waits does not depend on this value either.
"""
ESTABLISHED_LEADER_SECONDS = 10.0
"""How long an entry must have known a leader to claim at the first refused connection.

It then does not wait for the heartbeat. The refusal by a leader that has just claimed
may come from the partition that led to the claim.
"""
URGENT_PROBE_INTERVAL_SECONDS = 0.1
"""Interval of probes while the leader refuses connections or does not answer."""
RENEWAL_INTERVAL_SECONDS = 0.6
"""Less than a third of `LEADER_LEASE_SECONDS`, so that two renewals may be lost."""
PROBE_INTERVAL_SECONDS = 0.4
"""How often an entry asks the leader whether it still leads."""
PROBE_TIMEOUT_SECONDS = 0.6
STORE_SILENT_SECONDS = 0.6
"""How long the store must not answer before a leader hands over to an entry that
reaches it."""
REPORT_INTERVAL_SECONDS = 0.3
"""The longest interval between an agent's reports; it reports at once if a run ends."""
REPORT_TIMEOUT_SECONDS = 0.8
LEADER_SEARCH_PAUSE_SECONDS = 0.15
"""Pause between two attempts to find the leader."""
RUN_LEASE_SECONDS = 4.8
"""How long a worker continues runs whose leases its agent does not renew.

Agents that were killed are back within 3.5 s. The work of a worker that can't be
reached starts again elsewhere only after this time.
"""
RUN_CONTACT_LIMIT_SECONDS = 5.0
"""How long runs continue after their agent last reached the leader.

Longer than it takes to replace a silent leader, so that its death stops no work. Not
longer, because a new leader waits this long for agents that it can't reach.
"""
CLOCK_DRIFT_FACTOR = 1.02
"""How much slower a worker's clock may run; the platform guarantees this bound."""
PREDECESSOR_LEASE_SECONDS = LEADER_LEASE_SECONDS * CLOCK_DRIFT_FACTOR
"""How long after a claim an earlier leader may still act, unless it is known to have
stopped: its renewals, and the promises made to it, are older than the claim."""
AGENT_EXPIRY_SECONDS = RUN_CONTACT_LIMIT_SECONDS * CLOCK_DRIFT_FACTOR + 0.3
"""How long after its last report a leader counts an agent's runs as lapsed."""
WORKER_CALL_SECONDS = 0.35
"""Time limit of a call to the worker, which runs on the same VM and answers at once."""
LIST_WAIT_SECONDS = 0.4
"""How long the worker may delay the answer to a list until a run ends."""
WORKER_SILENT_SECONDS = 0.9
"""How long after its last list a worker is given no more starts."""
LIST_AGE_SECONDS = WORKER_SILENT_SECONDS + LIST_WAIT_SECONDS + WORKER_CALL_SECONDS
"""How long ago the list of a worker that is not silent was requested, at most."""
STOP_REPEAT_SECONDS = 1.0
"""How long after a stop it is repeated if the run is still listed."""
STORE_CALL_SECONDS = 1.0
"""Time limit of a call to the store, which takes 4 ms, and 60 times as long if slow."""
CONFIGURATION_WATCH_SECONDS = 2.0
"""How long a watch on the configuration waits for a change.

A silent connection is noticed after this time and half a second more.
"""
ZONES_WATCH_SECONDS = 4.0
"""How long an agent's watch on the zones taken out waits for a change."""
JOBS_WATCH_SECONDS = 2.0
"""How long the leader's watch on jobs waits for a change."""
CANCEL_ANSWER_SECONDS = 1.0
"""Time limit for the leader to store a cancellation before it answers the entry."""
STOP_MARGIN_SECONDS = 1.0
"""How long before the end of the grace period a process that is told to stop ends."""
LAST_REPORT_SECONDS = 1.0
"""How long an agent that is told to stop tries to report once more, at most.

With its restart, shorter than `RUN_LEASE_SECONDS`: nobody renews leases meanwhile.
"""
