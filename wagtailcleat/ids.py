"""Identifiers as distinct types, so that mypy rejects one in place of another."""

from typing import NewType

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", int)
"""Wall-clock milliseconds at the start of a node; grows with each start."""
ZoneName = NewType("ZoneName", str)
VmName = NewType("VmName", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
RequestId = NewType("RequestId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
"""`JOB/INDEX`: one task of a job."""
AttemptId = NewType("AttemptId", str)
"""`JOB/INDEX/ATTEMPT`: one run of a task, on one VM."""
ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
