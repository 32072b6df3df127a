"""The stand-in for a worker, whose tasks fail at once until their cause is repaired.

A job's spec says until when: `{"fails_until": 1700000000.0, "seconds": 600}`, in wall
clock seconds. Until then each of its tasks ends `failed` as soon as it has started; a
task that starts later runs for `seconds`. All else is as in `standins.platform_worker`.
"""

import json
import time
from typing import Any

import cyclopts

from standins import platform_worker


class MendingStartHandler(platform_worker.StartHandler):
    """`POST /run-start`."""

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Start a run, which fails at once while the cause is there."""
        spec = json.loads(body["spec"])
        if time.time() < spec.get("fails_until", 0.0):
            spec |= {"seconds": 0.0, "fail": True}
        return super().execute(body | {"spec": json.dumps(spec)})


if __name__ == "__main__":
    platform_worker.StartHandler = MendingStartHandler  # type: ignore[misc]
    cyclopts.run(platform_worker.main)
