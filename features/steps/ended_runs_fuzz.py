"""Random orders of ends that are listed to successive leaders, against an oracle."""

from collections import defaultdict
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from features.steps.scheduling_fuzz import History
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import decode, encode
from wagtailcleat.scheduling.job_entry import JobEntry, TaskState
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    TaskKey,
)

JOB = "j"
TASKS = 3
ATTEMPTS = 3
NODES = ("vm-0", "vm-1", "vm-2")
MOST_RUNS = 6
CHANGES = ["store", "store", "acknowledge", "leader"]

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "round", "round", "round", "fail", "fail", "fail", "report"]
            + ["report", "report", "commit", "commit", "leader", "leader", "deliver"]
            + ["decide", "end", "lose", "silence", "return", "wait", "crash"]
        ),
        st.integers(0, 1000),
    ),
    min_size=30,
    max_size=120,
)
"""Mostly failures, stored records and changes of leader."""


class End(NamedTuple):
    """The end of a run, as its worker lists it until it is acknowledged."""

    run: RunKey
    how: RunEnd
    checkpoint: str
    node: str


@st.composite
def task_histories(draw, position: int) -> list[End]:
    """Draw the ends of one task's runs; none follows a success or the last attempt."""
    ends: list[End] = []
    failures = 0
    hows = [RunEnd.FAILED, RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.SUCCEEDED]
    for run in range(1, draw(st.integers(0, MOST_RUNS)) + 1):
        how = draw(st.sampled_from(hows))
        saved = f"of-run-{run}" if draw(st.booleans()) else ""
        node = draw(st.sampled_from(NODES))
        ends.append(End(RunKey(TaskKey(JOB, 0, 0, position), run), how, saved, node))
        failures += how is RunEnd.FAILED
        if how is RunEnd.SUCCEEDED or failures == ATTEMPTS:
            break
    return ends


@st.composite
def listings(draw) -> tuple[list[End], list[tuple[str, int]]]:
    """Draw all ends of a job, and the order of reports, records and leaders."""
    ends = [end for position in range(TASKS) for end in draw(task_histories(position))]
    hear = st.tuples(st.just("hear"), st.integers(0, max(0, len(ends) - 1)))
    changes = st.tuples(st.sampled_from(CHANGES), st.just(0))
    return ends, draw(st.lists(hear | changes, min_size=10, max_size=60))


class SuccessiveLeaders:
    """One job at successive leaders, and its record in the store."""

    def __init__(self, ends: list[End]) -> None:
        """Start with a leader that has received no end."""
        self.ends = ends
        self.listed = set(ends)
        """Ends that are not acknowledged yet."""
        self.stored: bytes | None = None
        self.start_leader()

    def start_leader(self) -> None:
        """Replace the leader by one that restores the stored record."""
        record = decode(self.stored, JobRecord) if self.stored else None
        self.job_table = JobTable()
        self.reported: set[End] = set()
        self.durable: set[End] = set()
        job = make_job(JOB, plain(TASKS, checkpointable=True), attempts=ATTEMPTS)
        self.job_table.add(job, now=0.0, wall_now=job.accepted_at, record=record)

    @property
    def entry(self) -> JobEntry:
        """The job as the present leader sees it."""
        return self.job_table.entry_by_id[JOB]

    def report(self, end: End) -> None:
        """Deliver an end to the present leader, if it is still listed."""
        if end not in self.listed:
            return
        self.reported.add(end)
        self.job_table.record_end(
            end.run, end.how, end.checkpoint, node=end.node, now=0.0, wall_now=0.0
        )

    def store(self) -> None:
        """Store what the present leader knows."""
        self.stored = encode(record_of(self.entry))
        self.durable = set(self.reported)

    def acknowledge(self) -> None:
        """Acknowledge the ends that are stored; their workers list them no more."""
        self.listed -= self.durable

    def ends_of(self, key: TaskKey) -> list[End]:
        """Return all ends of a task, as the oracle knows them."""
        return [end for end in self.ends if end.run.task == key]

    def failures(self, key: TaskKey) -> set[int]:
        """Return the runs of a task that failed, as the oracle knows them."""
        return {end.run.run for end in self.ends_of(key) if end.how is RunEnd.FAILED}

    def check(self) -> None:
        """Assert that no failure is counted that did not happen."""
        for task in self.entry.tasks():
            assert task.failed_runs <= self.failures(task.key), task.failed_runs
        if self.entry.state is JobState.FAILED:
            assert self.has_used_up_attempts(), (
                "shown as failed, and no task failed so often"
            )

    def has_used_up_attempts(self) -> bool:
        """Return whether some task has failed as often as its queue allows."""
        keys = [TaskKey(JOB, 0, 0, position) for position in range(TASKS)]
        return any(len(self.failures(key)) >= ATTEMPTS for key in keys)

    def check_all_reported(self) -> None:
        """Assert that the job's state is right once all ends were reported."""
        assert self.has_used_up_attempts() == (self.entry.state is JobState.FAILED)
        if self.entry.state.final:
            return
        for task in self.entry.tasks():
            ends = self.ends_of(task.key)
            done = any(end.how is RunEnd.SUCCEEDED for end in ends)
            assert done == (task.state is TaskState.SUCCEEDED), task
            if done:
                continue
            assert task.failed_runs == self.failures(task.key), task.failed_runs
            saved = [end.checkpoint for end in ends if end.checkpoint]
            assert task.checkpoint == (saved[-1] if saved else ""), task.checkpoint
            failed = [end for end in ends if end.how is RunEnd.FAILED]
            assert task.failed_on <= {end.node for end in failed}, task.failed_on
            reported_nodes = {end.node for end in failed if end in self.reported}
            assert task.failed_on >= reported_nodes, task.failed_on


def _listen(ends: list[End], steps: list[tuple[str, int]], last: list[End]) -> None:
    leaders = SuccessiveLeaders(ends)
    for name, number in steps:
        if name == "hear" and ends:
            leaders.report(ends[number])
        elif name == "store":
            leaders.store()
        elif name == "acknowledge":
            leaders.acknowledge()
        elif name == "leader":
            leaders.start_leader()
        leaders.check()
    for end in last:
        leaders.report(end)
        leaders.check()
    leaders.check_all_reported()


class CountedHistory(History):
    """A random history of leaders, agents and workers that counts failures."""

    def __init__(self) -> None:
        """Start without failures."""
        super().__init__()
        self.failed_by_task: dict[TaskKey, set[int]] = defaultdict(set)

    def do_submit(self, number: int) -> None:
        """Submit a job whose queue allows few failures."""
        self.jobs += 1
        step = plain(1 + number % 4, cores=1 + number % 7)
        attempts = 1 + number % ATTEMPTS
        self.world.submit(make_job(f"j{self.jobs}", step, attempts=attempts))

    def do_fail(self, number: int) -> None:
        """Let one run fail and record that."""
        if runs := self.runs():
            worker, key = runs[number % len(runs)]
            self.failed_by_task[key.task].add(key.run)
            worker.end(key, RunEnd.FAILED)

    def check(self) -> None:
        """Also assert that no more failures are counted than there were."""
        super().check()
        for entry in self.world.scheduler.job_table.entry_by_id.values():
            for task in entry.tasks():
                assert task.failed_runs <= self.failed_by_task[task.key], task
            if entry.state is JobState.FAILED:
                most = max(
                    len(runs)
                    for key, runs in self.failed_by_task.items()
                    if key.job == entry.job.id
                )
                assert most >= entry.job.attempts, entry.job.id


def repeatable(count: int) -> settings:
    """Return settings that draw `count` examples, the same ones each time."""
    return settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )


def run_random_listings(count: int) -> None:
    """Play `count` random orders of listed ends, the same ones each time."""

    @repeatable(count)
    @given(listings(), st.randoms(use_true_random=False))
    def play(listing, random) -> None:
        ends, steps = listing
        last = list(ends)
        random.shuffle(last)
        _listen(ends, steps, last)

    play()


def run_counted_histories(count: int) -> None:
    """Play `count` random histories of leaders and agents, the same ones each time."""

    @repeatable(count)
    @given(OPERATIONS)
    def play(operations: list) -> None:
        history = CountedHistory()
        for name, number in operations:
            history.step(name, number)

    play()
