"""Stateful fuzz test of batch scheduling, checked against the workers' records."""

from batch_oracle import overlapping, peak_of, runs_of
from batch_world import (
    SHARDS,
    TASK,
    TASKS_A_VM,
    TEAM,
    TIMING,
    VMS,
    ZONE_BY_VM,
    configured,
)
from behave import then, when
from fuzz_runs import run_histories
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from msgspec.structs import replace

from standins.in_process_agents import AgentsDeployment
from wagtailcleat.batch.shards import find_shard, make_job_id
from wagtailcleat.configuration.writer import Accepted, write
from wagtailcleat.resources import Resources
from wagtailcleat.wire.jobs import CancelJob, JobAccount, JobSpec, SubmitJob, TaskSpec
from wagtailcleat.wire.results import Refused

SETTLE_TIMEOUT_SECONDS = 120.0
SETTLE_ROUND_SECONDS = 3.0
STEP_SECONDS = 0.3
ZONE_OUT_BOUND_SECONDS = 1.0
LONG_DEADLINE_SECONDS = 100_000.0


class BatchHistories(RuleBasedStateMachine):
    """Random callers, operators and faults; the workers' records are the oracle."""

    checked = 0
    tasks_run = 0

    @initialize()
    def begin(self):
        """Start three agents and apply the inventory."""
        self.deployment = AgentsDeployment(
            ZONE_BY_VM, Resources(100.0, 100_000, 0), TIMING, SHARDS
        )
        self.accepted = {}
        self.refused = set()
        self.cancelled = set()
        self.changes = 0
        self.out_since = None
        self.out_spans = []
        self._change(configured)
        self.deployment.pass_time(5.0)
        self.submit(name=0, tasks=4, seconds=8, vm="vm-1")
        self.submit(name=1, tasks=3, seconds=2, vm="vm-2")

    def _change(self, change):
        self.changes += 1
        deployment = self.deployment
        store = deployment.agent_by_vm[self._live()[0]].node.store
        work = write(store, None, f"change-{self.changes}", change)
        done = deployment.loop.run(work)
        if isinstance(done, Accepted):
            deployment.adopt(done.configuration)
        return isinstance(done, Accepted)

    def _live(self):
        return sorted(self.deployment.agent_by_vm)

    def _now(self):
        return self.deployment.loop.time()

    @rule(
        name=st.integers(0, 9),
        tasks=st.integers(1, 4),
        seconds=st.sampled_from([0.3, 2, 8]),
        vm=st.sampled_from(VMS),
    )
    def submit(self, name, tasks, seconds, vm):
        """Submit a job, which may have been submitted before."""
        if vm not in self.deployment.agent_by_vm:
            return
        shard = find_shard(TEAM, f"job-{name}", SHARDS)
        job = make_job_id(shard, TEAM.name, f"job-{name}")
        task = TaskSpec(f"sleep:{seconds}", TASK, 0.0)
        spec = JobSpec(
            job, TEAM.name, shard, tasks, task, 0.0, False, "", LONG_DEADLINE_SECONDS
        )
        answer = self.deployment.send_to_owner(vm, shard, SubmitJob(spec))
        if isinstance(answer, JobAccount):
            self.accepted.setdefault(job, (tasks, shard))
            self.refused.discard(job)
        elif isinstance(answer, Refused) and answer.code == "not_run":
            self.refused.add(job)
        else:
            self.refused.discard(job)

    @precondition(lambda self: len(self.accepted) > 2 + len(self.cancelled))
    @rule(data=st.data(), vm=st.sampled_from(VMS))
    def cancel(self, data, vm):
        """Cancel a job."""
        job = data.draw(st.sampled_from(sorted(self.accepted)))
        if vm in self.deployment.agent_by_vm:
            shard = self.accepted[job][1]
            self.cancelled.add(job)
            self.deployment.send_to_owner(vm, shard, CancelJob(job, shard))

    @precondition(lambda self: len(self._live()) > 1)
    @rule(data=st.data(), vm_too=st.booleans())
    def kill(self, data, vm_too):
        """Kill an agent, or its whole VM."""
        vm = data.draw(st.sampled_from(self._live()))
        if vm_too:
            self.deployment.kill_vm(vm)
        else:
            self.deployment.kill(vm)

    @precondition(lambda self: len(self._live()) > 1)
    @rule(data=st.data())
    def replace_agent(self, data):
        """Stop an agent as planned and start it again."""
        vm = data.draw(st.sampled_from(self._live()))
        self.deployment.stop(vm)
        self.deployment.start(vm)

    @precondition(lambda self: len(self._live()) < len(VMS))
    @rule()
    def start(self):
        """Start the agents that were killed."""
        for vm in VMS:
            if vm not in self.deployment.agent_by_vm:
                self.deployment.start(vm)

    @rule(vm=st.sampled_from(VMS))
    def cut(self, vm):
        """Partition an agent from the others."""
        self.deployment.isolate(vm)

    @rule()
    def heal(self):
        """Heal all partitions."""
        self.deployment.isolated.clear()

    @rule(down=st.booleans())
    def store(self, down):
        """Take the store down or bring it back."""
        self.deployment.store_down = down

    @rule(count=st.integers(1, 3), workers_too=st.booleans())
    def lose_answers(self, count, workers_too):
        """Lose the next answers of the store, and of the workers."""
        self.deployment.store_answers_to_lose = count
        self.deployment.worker_answers_to_lose = count if workers_too else 0

    @rule(out=st.booleans())
    def zone(self, out):
        """Take a zone out or bring it back."""
        zones = ["zilina-a"] if out else []
        asked_at = self._now()
        accepted = self._change(lambda current: replace(current, zones_out=zones))
        if out and accepted and self.out_since is None:
            self.out_since = self._now()
        elif not out and self.out_since is not None:
            # If the change is in doubt, the zone may be back in use, so starts from
            # then on are not checked.
            self.out_spans.append((self.out_since, asked_at))
            self.out_since = None

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.deployment.pass_time(seconds)

    @invariant()
    def pass_time_after_step(self):
        """Let a little time pass after each step."""
        self.deployment.pass_time(STEP_SECONDS)

    def teardown(self):
        """End all faults, wait until all tasks have ended, and check the records."""
        if not hasattr(self, "deployment"):
            return
        try:
            self._settle()
            self._check()
        finally:
            self.deployment.close()

    def _settle(self):
        deployment = self.deployment
        deployment.store_down = False
        deployment.store_answers_to_lose = deployment.worker_answers_to_lose = 0
        deployment.isolated.clear()
        self.zone(False)
        self.start()
        until = self._now() + SETTLE_TIMEOUT_SECONDS
        while self._now() < until and self._unfinished():
            deployment.pass_time(SETTLE_ROUND_SECONDS)
        deployment.pass_time(SETTLE_ROUND_SECONDS)

    def _runs(self):
        workers = self.deployment.worker_by_vm.items()
        return runs_of({vm: list(worker.record.rows) for vm, worker in workers})

    def _unfinished(self):
        """Return the accepted tasks that have not succeeded."""
        ended = {run.task for run in self._runs() if run.state == "succeeded"}
        wanted = {
            f"{job}~{index}"
            for job, (tasks, _) in self.accepted.items()
            for index in range(tasks)
            if job not in self.cancelled
        }
        return wanted - ended

    def _check(self):
        found = self._runs()
        assert not overlapping(found), overlapping(found)
        for vm in VMS:
            assert peak_of(found, vm) <= TASKS_A_VM, (vm, peak_of(found, vm))
        self._check_zone(found)
        assert not self._unfinished(), self._unfinished()
        jobs_run = {run.task.rpartition("~")[0] for run in found}
        assert not jobs_run & self.refused, jobs_run & self.refused
        BatchHistories.checked += 1
        BatchHistories.tasks_run += len(found)

    def _check_zone(self, found):
        for since, until in self.out_spans:
            late = [
                run
                for run in found
                if ZONE_BY_VM[run.vm] == "zilina-a"
                and since + ZONE_OUT_BOUND_SECONDS < run.start < until
            ]
            assert not late, (since, until, late)


@when(
    "{count:d} random batch histories of up to {steps:d} steps are run on virtual time"
)
def step_histories(context, count, steps):
    BatchHistories.checked = BatchHistories.tasks_run = 0
    context.count = count
    run_histories(BatchHistories, count, steps)


@then("in each of them no task ran twice at once and no VM ran more than it holds")
@then("in each of them no task started in a zone 1 s after it went out")
@then("in each of them every accepted task succeeded and no refused job ran")
def step_held(context):
    assert BatchHistories.checked >= context.count, BatchHistories.checked
    assert BatchHistories.tasks_run > context.count, BatchHistories.tasks_run
