"""Steps on drawn values of each kind that the store holds."""

import math

import msgspec
from behave import then
from hypothesis import given, settings, strategies

from features.steps.odd_values import DEEP, packed
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import LeaderHeartbeat, ProcessInfo, encode
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.scheduling.interference import StoredEstimates
from wagtailcleat.scheduling.models import Job, JobRecord, JobState
from wagtailcleat.scheduling.run_times import StoredRunTimes
from wagtailcleat.storage import Found
from wagtailcleat.wire.scheduling import Leads

REVISION = 1000
MAX_PORT = 65_535
VALID = [
    Leads(5, "entry-1", 1, "10.0.0.1", 7720),
    LeaderHeartbeat(written_at=1.0, epoch=5),
    ProcessInfo("10.0.0.1", 7720, 1),
    make_job("job-1", plain(2)),
    JobRecord(JobState.RUNNING, [(0, 0, [0])]),
]
KINDS = [Leads, LeaderHeartbeat, ProcessInfo, Job, JobRecord]
KINDS += [StoredEstimates, StoredRunTimes]
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


@strategies.composite
def _changed(draw):
    """Return a valid value in which one field has any value."""
    fields = msgspec.msgpack.decode(encode(draw(strategies.sampled_from(VALID))))
    names = list(fields) if isinstance(fields, dict) else range(len(fields))
    fields[draw(strategies.sampled_from(list(names)))] = draw(VALUES)
    return encode(fields)


BYTES = (
    strategies.binary(max_size=40)
    | VALUES.map(encode)
    | _changed()
    | strategies.just(packed(["10.0.0.1", 7720, 1, 1.0], last=DEEP))
)


def _are_bounded(value):
    if isinstance(value, Leads | ProcessInfo):
        assert 1 <= value.port <= MAX_PORT, value
        assert value.host.strip("0123456789abcdefABCDEF.:%") == "", value
    if isinstance(value, Leads | LeaderHeartbeat):
        assert 0 <= value.epoch <= REVISION, value
    if not isinstance(value, StoredEstimates | StoredRunTimes):
        numbers = [n for n in msgspec.structs.astuple(value) if isinstance(n, float)]
        assert all(math.isfinite(number) for number in numbers), value


@then("of {count:d} drawn values of each kind none raises an error or is out of bounds")
def step_draw(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given(BYTES)
    def check(data):
        for kind in KINDS:
            value = decode_stored(Found("k", data, REVISION), kind)
            if not isinstance(value, Unreadable | JobRecord):
                _are_bounded(value)

    check()
