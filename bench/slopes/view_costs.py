"""Processor time of one node's own bookkeeping, by members known."""

import random
import time
from collections.abc import Callable
from statistics import median

from bench.slopes.mesh import member
from wagtailcleat.ids import ServiceName, ShardId
from wagtailcleat.membership.view import View

REPEATS = 5
SECONDS_A_REPEAT = 0.05
SHARDS = 128
SUSPICION_SECONDS = 3.0
FORGET_SECONDS = 3600.0


def filled_view(members: int) -> View:
    """Return a view of `members` nodes."""
    view = View(member(0), random.Random(members))
    for number in range(1, members):
        view.merge(member(number), 0.0)
    view._sends_left_by_node.clear()
    return view


def seconds_a_call(act: Callable[[], object]) -> float:
    """Return the median processor time of one call of `act`."""
    return median(_once(act) for _ in range(REPEATS))


def _once(act: Callable[[], object]) -> float:
    calls = 0
    began = time.process_time()
    while time.process_time() - began < SECONDS_A_REPEAT:
        act()
        calls += 1
    return (time.process_time() - began) / calls


def measure(members: int) -> dict[str, float]:
    """Return the seconds of each act that runs all the time."""
    view = filled_view(members)

    def one_round() -> None:
        view.expire(1.0, suspicion=SUSPICION_SECONDS, forget_lost=FORGET_SECONDS)
        view.pick(1)

    return {
        "gossip_round": seconds_a_call(one_round),
        "digest": seconds_a_call(view.digest),
        "serving": seconds_a_call(lambda: view.serving(ServiceName("booking-core"))),
        "owners_of_128_shards": seconds_a_call(lambda: _owners(view)),
    }


def _owners(view: View) -> None:
    for number in range(SHARDS):
        view.owner(ShardId(number))
