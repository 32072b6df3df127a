"""Steps on the records of configuration changes."""

import msgspec
from behave import given, then, when
from msgspec.structs import replace

from wagtailcleat.configuration.history import (
    ChangeRecord,
    changes_since,
    make_record,
)
from wagtailcleat.configuration.models import Configuration, Inventory, Vm, Zone

CHANGED_VM = "vm-7"


@given("an inventory of {count:d} VMs as revision {revision:d}")
def step_inventory(context, count, revision):
    vms = [Vm(f"vm-{i}", "zilina-a", "rack-1", 30.0, 125_000) for i in range(count)]
    context.records = []
    context.current = Configuration()
    _accept(context, revision, Inventory([Zone("zilina-a", "zilina")], vms))


@when("each VM's rack is changed as revision {revision:d}")
def step_racks(context, revision):
    inventory = context.current.inventory
    vms = [replace(vm, rack="rack-2") for vm in inventory.vms]
    _accept(context, revision, replace(inventory, vms=vms))


@when("one VM's cores are changed as revision {revision:d}")
def step_cores(context, revision):
    inventory = context.current.inventory
    vms = [
        replace(vm, cores=28.0) if vm.name == CHANGED_VM else vm for vm in inventory.vms
    ]
    _accept(context, revision, replace(inventory, vms=vms))


def _accept(context, revision, inventory):
    after = Configuration(revision, f"change-{revision}", inventory)
    context.records.append(make_record(context.current, after))
    context.current = after


def _changes(context, base):
    records = [msgspec.json.decode(r, type=ChangeRecord) for r in context.records]
    return changes_since(base, records, context.current)


@then("each record has at most {size:d} bytes")
def step_size(context, size):
    sizes = [len(record) for record in context.records]
    assert max(sizes) <= size, sizes


@then("the difference between revisions {base:d} and {revision:d} is not known")
def step_not_known(context, base, revision):
    assert context.current.revision == revision
    assert _changes(context, base) is None


@then('the difference between revisions {base:d} and {revision:d} is "{text}"')
def step_difference(context, base, revision, text):
    shown = [
        f"{c.part}: {c.before['cores']} -> {c.after['cores']} cores"
        for c in _changes(context, base)
    ]
    assert shown == [text], shown
