"""Steps on one wide job of filling tasks on many small VMs, all of which serve."""

from behave import given, then, when

from features.steps.scheduling_world import (
    REPORT_SECONDS,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    serving,
)

TARGET_SECONDS = 0.02
IDLE_LOAD = 0.22
OWN_UTILIZATION = 0.42
MAX_UTILIZATION = 0.98
SETTLE_ROUNDS = 10


class _Fleet:
    """VMs with one serving image each, whose load follows from what fills beside it."""

    def __init__(self, count_by_image, cores):
        workers = [
            SimulatedWorker(f"{image}-{number}", cores=cores, labels=(image, "r1"))
            for image, count in count_by_image.items()
            for number in range(count)
        ]
        self.world = SchedulingWorld(workers)
        self.added_by_image = dict.fromkeys(count_by_image, 0.0)
        self.most_seconds_over = 0.0
        self._over_seconds_by_node = dict.fromkeys(self.world.worker_by_node, 0.0)
        for image, count in count_by_image.items():
            step = serving(
                count, cores=4.0, image=image, required_label=image, max_per_vm=1
            )
            self.world.submit(make_job(image, step))
        for _ in range(SETTLE_ROUNDS):
            self.round()

    def round(self):
        """Let the serving tasks report their loads, and the leader decide."""
        for worker in self.world.worker_by_node.values():
            self._report_load(worker)
        self.world.round()

    def _report_load(self, worker):
        image = worker.labels[0]
        cores = sum(
            2.0 * worker.pace_by_run.get(key, 100) / 100
            for key in worker.running
            if key.task.job == "wide"
        )
        added = self.added_by_image[image] * cores / worker.cores
        utilization = min(MAX_UTILIZATION, OWN_UTILIZATION + added)
        load = IDLE_LOAD / (1 - utilization)
        for key in worker.running:
            if key.task.job == image:
                worker.figure_by_run[key] = load * TARGET_SECONDS
        seconds = self._over_seconds_by_node[worker.node]
        seconds = seconds + REPORT_SECONDS if load > 1 else 0.0
        self._over_seconds_by_node[worker.node] = seconds
        self.most_seconds_over = max(self.most_seconds_over, seconds)


@given(
    '{first_count:d} VMs of {cores:d} cores that serve image "{first}",'
    ' and {second_count:d} that serve image "{second}"'
)
def step_fleet(context, first_count, cores, first, second_count, second):
    counts = {first: first_count, second: second_count}
    context.fleet = _Fleet(counts, float(cores))


@given(
    'an unprofiled filling image adds {added:g} on a whole VM to "{image}",'
    ' and nothing to "{other}"'
)
def step_adds(context, added, image, other):
    assert context.fleet.added_by_image[other] == 0.0
    context.fleet.added_by_image[image] = added


@when('job "wide" of {count:d} tasks of that image with {cores:g} cores is submitted')
def step_submitted(context, count, cores):
    world = context.fleet.world
    step = filling(count, cores=cores, image="fill", estimate_seconds=30.0)
    world.submit(make_job("wide", step, priority=2, accepted_at=world.wall_now))


@then(
    "within {seconds:g} s its {count:d} tasks run at full pace,"
    ' and none beside "{image}"'
)
def step_settled(context, seconds, count, image):
    fleet = context.fleet
    for _ in range(round(seconds / REPORT_SECONDS)):
        fleet.round()
    runs = [
        (worker.labels[0], worker.pace_by_run.get(key, 100))
        for worker in fleet.world.worker_by_node.values()
        for key in worker.running
        if key.task.job == "wide"
    ]
    assert len(runs) == count, runs
    assert all(beside != image and pace == 100 for beside, pace in runs), runs


@then("no serving task was over its target for more than {seconds:g} s")
def step_over(context, seconds):
    assert context.fleet.most_seconds_over <= seconds, context.fleet.most_seconds_over
