"""Writes ended jobs directly into the platform's store, for tests and soak runs."""

import time
from base64 import b64encode

from standins.processes import Process, http
from wagtailcleat.cluster.keys import encode, job_key, record_key
from wagtailcleat.ids import JobId, ServiceName
from wagtailcleat.scheduling.models import Job, JobRecord, JobState

MAX_PUTS_PER_WRITE = 30


def put(store: Process, value_by_key: dict[str, bytes]) -> None:
    """Write keys into the store, at most `MAX_PUTS_PER_WRITE` per transaction."""
    puts = [
        {"key": key, "value": b64encode(value).decode()}
        for key, value in value_by_key.items()
    ]
    for first in range(0, len(puts), MAX_PUTS_PER_WRITE):
        body = {"setKeys": puts[first : first + MAX_PUTS_PER_WRITE]}
        answer = http("POST", f"{store.url}/kv-txn", body)
        assert answer.status == 200, answer


def store_ended_jobs(store: Process, count: int, size: int) -> None:
    """Store `count` succeeded jobs, each with a spec of `size` bytes."""
    now = time.time()
    record = encode(JobRecord(JobState.SUCCEEDED, ended_at=now))
    value_by_key = {}
    for number in range(count):
        job = JobId(f"{number:016x}")
        service = ServiceName("booking-core")
        value = encode(Job(job, "holds", service, "x" * size, (), now))
        value_by_key |= {job_key(job): value, record_key(job): record}
    put(store, value_by_key)
