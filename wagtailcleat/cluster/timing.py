"""Seconds of every interval, lease and bound between entries and agents.

Each leader counts on agents keeping to the same values.
"""

LEADER_VALID = 2.2
"""How long a leader may act after a renewal, counted from sending it.

A silent leader is replaced after this time; a store that does not answer for longer
stops starts unless every entry gives its word not to claim.
"""
CLAIM_AFTER = 2.5
"""How long the leader's beat must stand still before another entry claims.

Longer than `LEADER_VALID` by more than the clocks drift in that time.
"""
REFUSED_STANDS = 0.8
"""How long the beat must stand still where the leader's port refuses connections.

Longer than `RENEW_EVERY`: two entries cut from each other by refusals, both with the
store, would else take the office from each other again and again. What a new leader
waits for does not rest on it.
"""
STEADY_SECONDS = 10.0
"""How long an entry must have known the leader to claim at its first refusal, without
waiting for the beat: of a leader that has just claimed a refusal may be the cut's."""
LOOK_SOON = 0.1
"""How often an entry looks while the leader's port refuses connections."""
RENEW_EVERY = 0.6
"""A third of `LEADER_VALID` and less, so that two lost renewals do no harm."""
PROBE_EVERY = 0.4
"""How often an entry asks the leader whether it still leads."""
PROBE_TIMEOUT = 0.6
STORE_SILENT = 0.6
"""After how long without the store a leader looks for an entry that reaches it."""
REPORT_EVERY = 0.3
"""How often an agent reports at least; it reports at once when a run ends."""
REPORT_TIMEOUT = 0.8
LOOK_AGAIN = 0.15
"""Pause between two attempts to find the leader."""
RUN_LEASE = 4.8
"""How long runs go on at a worker without a renewal by its agent.

Agents that were killed are back within 3.5 s; the work of a worker that went dark
starts again elsewhere only after this time.
"""
RUN_HORIZON = 5.0
"""How long runs go on after their agent last reached the leader.

Longer than it takes to replace a silent leader, so that its death stops no work; no
longer, because a new leader waits this long for agents that it can't reach.
"""
CLOCK_DRIFT = 1.02
"""A worker's clock may be this much slow (the platform's word)."""
PREDECESSOR_SECONDS = LEADER_VALID * CLOCK_DRIFT
"""How long after a claim an earlier leader may act, at most, where nothing shows that
it acts no more: its renewals and the words given to it are older than the claim."""
GIVE_UP_AFTER = RUN_HORIZON * CLOCK_DRIFT + 0.3
"""When a leader counts the runs of an agent as lapsed that it does not hear from."""
WORKER_CALL = 0.35
"""Bound of a call to the worker: it runs on the same VM and answers at once."""
LIST_WAIT = 0.4
"""How long the worker may hold back a list until a run ends."""
WORKER_SILENT = 0.9
"""After how long without a list no more starts are given to a worker."""
STOP_AGAIN = 1.0
"""After how long a stop is repeated for a run that is still listed."""
STORE_CALL = 1.0
"""Bound of a call to the store: it takes 4 ms, and 60 times as long when slow."""
QUEUES_WAIT = 2.0
"""How long a watch on the configuration waits.

A connection that went silent is noticed after this time and half a second more.
"""
ZONES_WAIT = 4.0
"""The same for an agent's watch on zones taken out."""
JOBS_WAIT = 2.0
"""The same for the leader's watch on jobs."""
CANCEL_ANSWER = 1.0
"""Within which the leader answers an entry that a cancellation is stored."""
