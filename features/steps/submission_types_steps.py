"""Steps on submissions whose fields have any type."""

import json

from behave import then
from hypothesis import given, settings, strategies

from features.steps.platform_adapter_steps import QUEUE, WALL_NOW
from wagtailcleat.cluster.keys import decode, encode
from wagtailcleat.ids import JobId
from wagtailcleat.platform.fields import BodyError
from wagtailcleat.platform.submissions import decode_job
from wagtailcleat.scheduling.job_bounds import job_problem
from wagtailcleat.scheduling.models import Job

STEP = {
    "count": 2,
    "cpu": 500,
    "memMb": 64,
    "gpu": 0,
    "estMs": 900,
    "checkpointable": True,
    "gang": False,
    "sameRack": False,
    "requiredLabel": "",
    "affinity": "r1",
    "maxPerServer": 0,
    "speculative": False,
    "longRunning": False,
    "image": "i",
    "targetMs": 0,
    "fills": False,
    "mayMiss": 0,
}
BODY = {"spec": "x", "times": 2, "startMs": 1_000, "intervalMs": 1_000}
LONE_SURROGATE = "\ud800"
ODD_VALUES = strategies.recursive(
    strategies.sampled_from([None, True, False, -1, 0, 1, 2**53 + 1, 1.5, 1e400])
    | strategies.sampled_from(["", "1", LONE_SURROGATE, float("nan")]),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.just("a"), inner)
    ),
    max_leaves=2,
)


def _with_odd_field(raw):
    """Return documents in which one field of `raw` has any value."""
    return strategies.builds(
        lambda name, value: raw | {name: value},
        strategies.sampled_from(sorted(raw)),
        ODD_VALUES,
    )


def _restorable(body):
    """Return whether a body is refused, or decoded to a job that can be restored."""
    data = json.dumps(body).encode()
    try:
        job = decode_job(JobId("0" * 16), QUEUE, data, wall_now=WALL_NOW)
    except BodyError:
        return True
    return not job_problem(job) and decode(encode(job), Job) == job


@then("{count:d} submissions with fields of any type are refused, or can be restored")
def step_any_types(context, count):
    valid = strategies.just(STEP)
    after = strategies.lists(ODD_VALUES, min_size=1, max_size=2)
    odd_step = _with_odd_field(STEP) | after.map(lambda row: STEP | {"after": row})
    steps = strategies.tuples(valid, odd_step).map(list)
    bodies = steps.map(lambda rows: BODY | {"steps": rows}) | _with_odd_field(
        BODY | {"steps": [STEP]}
    )

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given(bodies)
    def check(body):
        assert _restorable(body), body

    check()
