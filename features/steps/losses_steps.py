"""Steps for the account of where a played day lost its worth."""

from behave import given, then

from bench.losses import losses_by_moment, losses_by_part

SITE = {
    "classes": [{"name": "small", "worth": 1.0}, {"name": "large", "worth": 9.0}],
}
MAX_ROUNDING = 1e-6


def _row(name, n, worth):
    return {"name": name, "n": n, "not_owed": 0, "worth": worth}


@given("a report of a day with two classes, of which one lost a quarter of its worth")
def step_classes(context):
    served = (90 * 1.0 + 10 * 9.0 * 0.75) / 180
    parts = [["whole day", 0.8, served], ["worst windows", 0.2, 0.5]]
    worth = 0.8 * served + 0.2 * 0.5 - 0.05
    context.report = {
        "G": worth,
        "parts": parts,
        "prices": [["calls", 100.0, 0.05], ["moves", 0.0, 0.0]],
        "classes": [_row("small", 90, 1.0), _row("large", 10, 0.75)],
    }


@then("the account has rows for that class, the worst windows and a price")
def step_rows(context):
    context.losses = losses_by_part(context.report, SITE)
    lost = {row.cause for row in context.losses if row.worth > 0}
    assert lost == {"class large", "worst windows", "price of calls"}, context.losses


@then("its rows add up to what the day lost")
def step_sum(context):
    lost = sum(row.worth for row in context.losses)
    assert abs(lost - (1 - context.report["G"])) < MAX_ROUNDING, lost


@given(
    "a report of a day with a loss of power at {power:d} s,"
    " and a burst from {begins:d} s to {ends:d} s"
)
def step_events(context, power, begins, ends):
    context.report = {
        "parts": [["whole day", 1.0, 0.6]],
        "events": [
            {"kind": "closing", "at_s": float(power), "to_s": 100.0},
            {"kind": "burst", "at_s": float(begins), "to_s": float(ends)},
        ],
    }


@given("windows at 2, 10, 22 and 40 s that each lost half")
def step_windows(context):
    names = ("2", "10", "22", "40")
    context.report["windows"] = [_row(name, 10, 0.5) for name in names]


@then('each of "no power", "burst" and "no disturbance" lost its share of the windows')
def step_causes(context):
    lost_by_cause = dict(losses_by_moment(context.report))
    shares = {"no power": 0.1, "burst": 0.1, "no disturbance": 0.2}
    assert lost_by_cause.keys() == shares.keys(), lost_by_cause
    for cause, share in shares.items():
        assert abs(lost_by_cause[cause] - share) < MAX_ROUNDING, lost_by_cause
