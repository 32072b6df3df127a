"""Steps of features/fuzz/configuration.feature: a state machine of gossiping nodes.

Every revision that a process adopted is compared with the history of the store.
"""

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
from wagtailcleat.configuration.parts import split_parts
from wagtailcleat.configuration.writer import Accepted, decode, write

CONVERGENCE_SECONDS = 10.0
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


class ConfigurationHistory(RuleBasedStateMachine):
    """Operators, nodes and faults; the store's history is the oracle.

    Hypothesis draws the rules in the order of their names.
    """

    checked_count = 0

    @initialize()
    def begin(self):
        """Start two entries and two agents."""
        self.deployment = Deployment()
        self.started = 4
        self.changes = 0
        self.task_by_change = {}
        self.deployment.start("entry-1", [])
        self.deployment.start("entry-2", ["entry-1"])
        self.deployment.start("agent-3", ["entry-1"])
        self.deployment.start("agent-4", ["agent-3"])
        self.deployment.pass_time(1.0)

    def _change(self, entry, change):
        self.changes += 1
        store = self.deployment.store_by_name[entry]
        change_id = f"change-{self.changes}"
        task = write(store, None, change_id, change)
        self.task_by_change[change_id] = self.deployment.loop.create_task(task)

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
        """Change the configuration through two entries concurrently."""
        self._change("entry-1", _zone_out)
        self._change("entry-2", _with_vm(number))
        self.deployment.pass_time(STEP_SECONDS)

    @rule(entry=st.sampled_from(["entry-1", "entry-2"]))
    def lose_store_answer(self, entry):
        """Lose the store's next answer to an entry, after the write took effect."""
        self.deployment.store_by_name[entry].lose_answers = 1
        self._change(entry, _zone_out)
        self.deployment.pass_time(STEP_SECONDS)

    @precondition(lambda self: len(self.deployment.node_by_name) < MAX_NODES)
    @rule(data=st.data())
    def join(self, data):
        """Start a process seeded by entry-1 and another, perhaps outdated, process."""
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
        """Restart an entry without state: it reads the configuration from the store."""
        others = sorted(set(self.deployment.node_by_name) - {entry})
        self.deployment.stop(entry)
        self.deployment.start(entry, others[:1])
        self.deployment.pass_time(STEP_SECONDS)

    @rule(data=st.data(), number=st.integers(0, 1))
    def remove_during_cut(self, data, number):
        """Partition one agent while a VM is removed and both entries are restarted."""
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
    def cut_network(self, data):
        """Partition the network in two."""
        names = sorted(self.deployment.node_by_name)
        side = data.draw(st.sets(st.sampled_from(names), min_size=1))
        self.deployment.partition(side)
        self.deployment.pass_time(data.draw(st.sampled_from([1.0, 10.0])))

    @rule()
    def heal(self):
        """End the partition."""
        self.deployment.heal()
        self.deployment.pass_time(STEP_SECONDS)

    def teardown(self):
        """Wait for convergence, then compare with the store's history."""
        if not hasattr(self, "deployment"):
            return
        try:
            self.deployment.heal()
            self.deployment.pass_time(CONVERGENCE_SECONDS)
            self._check()
        finally:
            self.deployment.close()

    def _accepted(self):
        events = self.deployment.keyspace.since(0)
        stored = [e for e in events if e.kv.key.decode() == CONFIGURATION]
        configurations = [decode(event.kv.value) for event in stored]
        self._check_answers(configurations)
        return {c.revision: split_parts(c) for c in configurations}

    def _check_answers(self, configurations):
        # Compare the answers to operators with the store: each change was written at
        # most once, and one answered as accepted was written at the answered revision
        # or changed nothing.
        change_ids = [c.change_id for c in configurations]
        assert len(change_ids) == len(set(change_ids)), change_ids
        revision_by_change = {c.change_id: c.revision for c in configurations}
        for change_id, task in self.task_by_change.items():
            outcome = task.result()
            revision = revision_by_change.get(change_id)
            if isinstance(outcome, Accepted):
                assert revision in (None, outcome.revision), (change_id, outcome)
            elif not getattr(outcome, "unknown", False):
                assert revision is None, (change_id, outcome)

    def _check(self):
        accepted = self._accepted()
        for name, adopted in self.deployment.configurations_by_start.items():
            revisions = [configuration.revision for configuration in adopted]
            assert revisions == sorted(set(revisions)), (name, revisions)
            for configuration in adopted:
                assert split_parts(configuration) == accepted[configuration.revision], (
                    name
                )
        newest = max(accepted, default=0)
        for name, node in self.deployment.node_by_name.items():
            assert node.in_force.revision == newest, (name, node.in_force, newest)
        ConfigurationHistory.checked_count += 1


@when("{count:d} random histories of up to {steps:d} steps are run on virtual time")
def step_histories(context, count, steps):
    ConfigurationHistory.checked_count = 0
    context.count = count
    run_histories(ConfigurationHistory, count, steps)


@then("in each of them every process adopted the store's revisions in increasing order")
def step_increasing(context):
    assert ConfigurationHistory.checked_count >= context.count, (
        ConfigurationHistory.checked_count
    )


@then("in each of them all processes had the newest revision 10 s after the last fault")
def step_converged(context):
    assert ConfigurationHistory.checked_count >= context.count, (
        ConfigurationHistory.checked_count
    )
