"""A state machine over gossiping nodes, with the store's history as the oracle."""

from behave import then, when
from fuzz_runs import run_histories
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from msgspec.structs import replace

from standins.in_process_nodes import Deployment
from wagtailcleat.configuration.keys import CONFIGURATION
from wagtailcleat.configuration.models import Vm, Zone
from wagtailcleat.configuration.parts import cut
from wagtailcleat.configuration.writer import Accepted, decode, write

QUIET_SECONDS = 10.0
MAX_NODES = 7
STEP_SECONDS = 0.4


def _vm(number):
    return Vm(f"vm-{number}", "zilina-a", "rack-1", 8.0, 16_000)


def _with_vm(number):
    def change(current):
        kept = [vm for vm in current.inventory.vms if vm.name != f"vm-{number}"]
        zones = [Zone("zilina-a", "zilina"), Zone("zilina-b", "zilina")]
        vms = [*kept, _vm(number)]
        return replace(
            current, inventory=replace(current.inventory, zones=zones, vms=vms)
        )

    return change


def _without_vm(number):
    def change(current):
        kept = [vm for vm in current.inventory.vms if vm.name != f"vm-{number}"]
        return replace(current, inventory=replace(current.inventory, vms=kept))

    return change


def _zone_out(current):
    known = {zone.name for zone in current.inventory.zones}
    out = sorted({"zilina-b"} & known - set(current.zones_out))
    return replace(current, zones_out=out)


class Histories(RuleBasedStateMachine):
    """Operators, nodes and faults; the oracle is what the store accepted."""

    checked = 0

    @initialize()
    def begin(self):
        """Start two entries and two agents."""
        self.deployment = Deployment()
        self.started = 4
        self.changes = 0
        self.work_by_change = {}
        self.deployment.start("entry-1", [])
        self.deployment.start("entry-2", ["entry-1"])
        self.deployment.start("agent-3", ["entry-1"])
        self.deployment.start("agent-4", ["agent-3"])
        self.deployment.pass_time(1.0)

    def _change(self, entry, change):
        self.changes += 1
        store = self.deployment.store_by_name[entry]
        change_id = f"change-{self.changes}"
        work = write(store, None, change_id, change)
        self.work_by_change[change_id] = self.deployment.loop.create_task(work)

    @rule(number=st.integers(0, 5), entry=st.sampled_from(["entry-1", "entry-2"]))
    def add_vm(self, number, entry):
        """Add a VM."""
        self._change(entry, _with_vm(number))
        self.deployment.pass_time(STEP_SECONDS)

    @rule(number=st.integers(0, 5), entry=st.sampled_from(["entry-1", "entry-2"]))
    def remove_vm(self, number, entry):
        """Remove a VM."""
        self._change(entry, _without_vm(number))
        self.deployment.pass_time(STEP_SECONDS)

    @rule(number=st.integers(0, 5))
    def race(self, number):
        """Change the configuration from two operators at once."""
        self._change("entry-1", _zone_out)
        self._change("entry-2", _with_vm(number))
        self.deployment.pass_time(STEP_SECONDS)

    @rule(entry=st.sampled_from(["entry-1", "entry-2"]))
    def lose_an_answer(self, entry):
        """Lose the store's next answer to an entry, after the write."""
        self.deployment.store_by_name[entry].lose_answers = 1
        self._change(entry, _zone_out)
        self.deployment.pass_time(STEP_SECONDS)

    @precondition(lambda self: len(self.deployment.node_by_name) < MAX_NODES)
    @rule(data=st.data())
    def join(self, data):
        """Let a process join that knows one other, perhaps an old one."""
        names = sorted(self.deployment.node_by_name)
        seed = data.draw(st.sampled_from(names))
        self.started += 1
        self.deployment.start(f"agent-{self.started}", [seed, "entry-1"])
        self.deployment.pass_time(STEP_SECONDS)

    @precondition(lambda self: len(self.deployment.node_by_name) > 3)
    @rule(data=st.data())
    def kill(self, data):
        """Kill a process other than an entry."""
        agents = sorted(
            n for n in self.deployment.node_by_name if n.startswith("agent")
        )
        self.deployment.stop(data.draw(st.sampled_from(agents)))
        self.deployment.pass_time(STEP_SECONDS)

    @rule(entry=st.sampled_from(["entry-1", "entry-2"]))
    def restart_entry(self, entry):
        """Replace an entry: it takes the whole configuration from the store."""
        others = sorted(set(self.deployment.node_by_name) - {entry})
        self.deployment.stop(entry)
        self.deployment.start(entry, others[:1])
        self.deployment.pass_time(STEP_SECONDS)

    @rule(data=st.data(), number=st.integers(0, 1))
    def remove_behind_a_cut(self, data, number):
        """Cut one agent off while a VM is removed and all entries are replaced."""
        agents = sorted(
            n for n in self.deployment.node_by_name if n.startswith("agent")
        )
        self._change("entry-1", _with_vm(number))
        self.deployment.pass_time(3.0)
        self.deployment.partition({data.draw(st.sampled_from(agents))})
        self._change("entry-1", _without_vm(number))
        self.deployment.pass_time(STEP_SECONDS)
        self.restart_entry("entry-1")
        self.restart_entry("entry-2")
        self.deployment.heal()
        self.deployment.pass_time(STEP_SECONDS)

    @rule(data=st.data())
    def cut(self, data):
        """Cut the network in two."""
        names = sorted(self.deployment.node_by_name)
        side = data.draw(st.sets(st.sampled_from(names), min_size=1))
        self.deployment.partition(side)
        self.deployment.pass_time(data.draw(st.sampled_from([1.0, 10.0])))

    @rule()
    def heal(self):
        """End the cut."""
        self.deployment.heal()
        self.deployment.pass_time(STEP_SECONDS)

    def teardown(self):
        """Let everything settle, then compare with the store's history."""
        if not hasattr(self, "deployment"):
            return
        try:
            self.deployment.heal()
            self.deployment.pass_time(QUIET_SECONDS)
            self._check()
        finally:
            self.deployment.close()

    def _accepted(self):
        events = self.deployment.keyspace.since(0)
        stored = [e for e in events if e.kv.key.decode() == CONFIGURATION]
        configurations = [decode(event.kv.value) for event in stored]
        self._check_answers(configurations)
        return {c.revision: cut(c) for c in configurations}

    def _check_answers(self, configurations):
        # What operators were told against what the store took: each change at most
        # once, and one that was told accepted at the revision told, or for nothing.
        change_ids = [c.change_id for c in configurations]
        assert len(change_ids) == len(set(change_ids)), change_ids
        revision_by_change = {c.change_id: c.revision for c in configurations}
        for change_id, work in self.work_by_change.items():
            outcome = work.result()
            revision = revision_by_change.get(change_id)
            if isinstance(outcome, Accepted):
                assert revision in (None, outcome.revision), (change_id, outcome)
            elif not getattr(outcome, "unknown", False):
                assert revision is None, (change_id, outcome)

    def _check(self):
        accepted = self._accepted()
        for name, seen in self.deployment.configurations_by_start.items():
            revisions = [configuration.revision for configuration in seen]
            assert revisions == sorted(set(revisions)), (name, revisions)
            for configuration in seen:
                assert cut(configuration) == accepted[configuration.revision], name
        newest = max(accepted, default=0)
        for name, node in self.deployment.node_by_name.items():
            assert node.in_force.revision == newest, (name, node.in_force, newest)
        Histories.checked += 1


@when("{count:d} random histories of up to {steps:d} steps are run on virtual time")
def step_histories(context, count, steps):
    Histories.checked = 0
    context.count = count
    run_histories(Histories, count, steps)


@then("in each of them every process only went forward through the store's revisions")
def step_forward(context):
    assert Histories.checked >= context.count, Histories.checked


@then("in each of them all processes had the newest one 10 s after the last fault")
def step_everywhere(context):
    assert Histories.checked >= context.count, Histories.checked
