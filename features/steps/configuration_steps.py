"""Steps of features/configuration.feature: checks of an inventory."""

from behave import given, then, when

from wagtailcleat.configuration.check import check_inventory


def _check(raw):
    return check_inventory(raw)[1]


@given(
    "an inventory with a misspelt key, a duplicate VM, an unknown VM"
    " and a VM that is too small"
)
def step_inventory(context):
    vm = {"name": "vm-1", "zone": "zilina-a", "rack": "r-1", "memory_mb": 2000}
    context.raw = {
        "zones": [{"name": "zilina-a", "region": "zilina"}],
        "vms": [vm | {"coers": 4}, vm | {"cores": 4}],
        "services": [
            {
                "name": "booking-core",
                "vms": ["vm-1", "vm-9"],
                "cores": 8,
                "memory_mb": 1000,
            }
        ],
    }


@when("the inventory is checked")
def step_check(context):
    context.problems = _check(context.raw)


@when("the misspelt key is corrected")
def step_correct(context):
    vm = context.raw["vms"][0]
    vm["cores"] = vm.pop("coers")
    context.problems = _check(context.raw)


@then("these problems are reported")
def step_problems(context):
    assert context.problems == [row["problem"] for row in context.table]
