"""Jobs put into the platform's store as if they had ended some time ago."""

import time
from base64 import b64encode

from standins.processes import Process, http
from wagtailcleat.cluster.keys import encode, job_key, record_key
from wagtailcleat.ids import JobId, ServiceName
from wagtailcleat.scheduling.models import Job, JobRecord, JobState

PUTS_PER_WRITE = 30


def put(store: Process, value_by_key: dict[str, bytes]) -> None:
    """Write keys into the store, a few at a time."""
    puts = [
        {"key": key, "value": b64encode(value).decode()}
        for key, value in value_by_key.items()
    ]
    for first in range(0, len(puts), PUTS_PER_WRITE):
        body = {"setKeys": puts[first : first + PUTS_PER_WRITE]}
        answer = http("POST", f"{store.url}/kv-txn", body)
        assert answer.status == 200, answer


def store_ended_jobs(store: Process, count: int, size: int) -> None:
    """Store jobs that have succeeded, each with `size` bytes of specification."""
    now = time.time()
    record = encode(JobRecord(JobState.SUCCEEDED, ended_at=now))
    value_by_key = {}
    for number in range(count):
        job = JobId(f"{number:016x}")
        service = ServiceName("booking-core")
        value = encode(Job(job, "holds", service, "x" * size, (), now))
        value_by_key |= {job_key(job): value, record_key(job): record}
    put(store, value_by_key)
