"""Steps on the interference model alone."""

import math
import random

from behave import given, then, when

from wagtailcleat.scheduling.interference import Interference, Reading

REPORT_SECONDS = 0.3
IDLE_LOAD = 0.2222
SWING_SECONDS = 10.0
MEAN_UTILIZATION = 0.42
JOBS = ("watch-a", "watch-b")
VMS = 4
SHARE = 0.12
"""Share of a VM's cores that one filling run uses."""
HEAVY = 2.0
"""Utilization that a VM full of the heavy image adds."""


def _own(job: str, now: float) -> float:
    phase = JOBS.index(job) / 3
    swing = 0.5 * math.sin(2 * math.pi * (now / SWING_SECONDS + phase))
    return MEAN_UTILIZATION * (1 + swing)


@given("two serving jobs on 4 VMs, with loads that vary in 10 s, each in its own phase")
def step_varying_jobs(context):
    context.learnt = Interference()
    context.random = random.Random(7)
    context.now = 0.0
    context.added_by_image = {}
    for _ in range(20):
        _report(context, {})


@given("one of three filling images adds much beside them, the others next to nothing")
def step_filling_images(context):
    context.added_by_image = {"heavy": HEAVY, "light-1": 0.05, "light-2": 0.0}


def _report(context, share_by_image_by_vm, *, slow_vm: int | None = None) -> None:
    context.now += REPORT_SECONDS
    for vm in range(VMS):
        shares = share_by_image_by_vm.get(vm, {})
        for job in JOBS:
            added = sum(context.added_by_image[i] * s for i, s in shares.items())
            utilization = min(0.97, _own(job, context.now) + added)
            load = IDLE_LOAD / (1 - utilization) + context.random.gauss(0, 0.02)
            load *= 5 if vm == slow_vm else 1
            reading = Reading(job, job, load, shares, context.now)
            context.learnt.learn(reading)


@when("runs of the filling images come and go on the VMs for {seconds:d} s")
def step_come_and_go(context, seconds):
    running: dict = {}
    for number in range(round(seconds / REPORT_SECONDS)):
        if number % 5 == 0:
            images = sorted(context.added_by_image)
            running = {
                vm: {context.random.choice(images): SHARE}
                for vm in range(VMS)
                if context.random.random() < 0.7
            }
        _report(context, running)


@then("the estimate of each filling image is known, and only the one adds much")
def step_identified(context):
    for job in JOBS:
        for image in context.added_by_image:
            estimate = context.learnt.estimate(job, image)
            assert estimate.is_known, (job, image, estimate)
            assert (estimate.mean > 1.0) == (image == "heavy"), (job, image, estimate)
            assert image == "heavy" or estimate.mean < 0.5, (job, image, estimate)


@when("one VM reports {factor:d} times the load for {seconds:d} s")
def step_slow_vm(context, factor, seconds):
    for _ in range(round(seconds / REPORT_SECONDS)):
        _report(context, {}, slow_vm=2)


@then("the load expected of both jobs is within {most:g} of their own")
def step_expected(context, most):
    for job in JOBS:
        own = context.learnt.expected_own(job, job, context.now)
        idle = context.learnt.idle(job)
        expected = 1 - idle / (IDLE_LOAD / (1 - _own(job, context.now)))
        assert abs(own - expected) <= most, (job, own, expected)
