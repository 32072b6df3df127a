"""Execution of the transactions of the stand-in in `standins.store`."""

import operator
from typing import Any

from standins.keyspace import Event, Keyspace, in_range
from standins.store_messages import (
    Compare,
    Header,
    Operation,
    RangeAnswer,
    RangeRequest,
    TxnRequest,
    kv_answer,
)

VALUE_LIMIT = 1_000_000
OPERATION_LIMIT = 128
INVALID_ARGUMENT = 3
NOT_FOUND = 5

RESULT_BY_NAME = {
    "EQUAL": operator.eq,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
FIELD_BY_TARGET = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
}


class RefusedError(Exception):
    """The store refuses the call."""

    def __init__(self, status: int, code: int, message: str) -> None:
        """Store the HTTP status, the store's error code and a sentence."""
        super().__init__(message)
        self.status = status
        self.code = code


def header(keyspace: Keyspace) -> Header:
    """Return the header of an answer."""
    return Header(str(keyspace.revision))


def read_range(keyspace: Keyspace, request: RangeRequest) -> RangeAnswer:
    """Return the keys in a range, up to the limit of the request."""
    found = keyspace.range(request.key, request.range_end)
    shown = found[: request.limit] if request.limit else found
    kvs = [kv_answer(kv, request.keys_only) for kv in shown]
    more = len(shown) < len(found)
    return RangeAnswer(header(keyspace), kvs, more, str(len(found)))


def is_write(request: TxnRequest) -> bool:
    """Return whether either branch contains a write."""
    operations = request.success + request.failure
    return any(operation.request_range is None for operation in operations)


def run_txn(keyspace: Keyspace, request: TxnRequest) -> tuple[dict[str, Any], set[str]]:
    """Execute a transaction; return its answer and the keys it wrote.

    Raises:
        RefusedError: the transaction is invalid or over a limit; nothing is written.

    """
    _check(keyspace, request)
    succeeded = all(_holds(keyspace, compare) for compare in request.compare)
    events: list[Event] = []
    branch = request.success if succeeded else request.failure
    responses = [_run(keyspace, operation, events) for operation in branch]
    keyspace.commit(events, "txn")
    answer: dict[str, Any] = {"header": header(keyspace)}
    if succeeded:
        answer["succeeded"] = True
    if responses:
        answer["responses"] = responses
    return answer, {event.kv.key.decode("utf-8", "replace") for event in events}


def _check(keyspace: Keyspace, request: TxnRequest) -> None:
    for items in (request.compare, request.success, request.failure):
        if len(items) > OPERATION_LIMIT:
            raise RefusedError(400, INVALID_ARGUMENT, "too many operations in txn")
    for branch in (request.success, request.failure):
        _check_branch(keyspace, branch)


def _check_branch(keyspace: Keyspace, branch: list[Operation]) -> None:
    puts = [op.request_put for op in branch if op.request_put]
    if len({put.key for put in puts}) < len(puts):
        raise RefusedError(400, INVALID_ARGUMENT, "duplicate key given in txn")
    deletes = [op.request_delete_range for op in branch if op.request_delete_range]
    if any(in_range(put.key, d.key, d.range_end) for put in puts for d in deletes):
        raise RefusedError(400, INVALID_ARGUMENT, "duplicate key given in txn")
    if any(len(put.value) > VALUE_LIMIT for put in puts):
        raise RefusedError(400, INVALID_ARGUMENT, "request is too large")
    if any(put.lease and put.lease not in keyspace.lease_by_id for put in puts):
        raise RefusedError(404, NOT_FOUND, "requested lease not found")
    for op in branch:
        given = (op.request_put, op.request_range, op.request_delete_range)
        if sum(request is not None for request in given) != 1:
            raise RefusedError(400, INVALID_ARGUMENT, "an operation has one request")


def _holds(keyspace: Keyspace, compare: Compare) -> bool:
    field = FIELD_BY_TARGET[compare.target]
    kv = keyspace.get(compare.key)
    if kv is None and compare.target == "VALUE":
        return False
    actual = getattr(kv, field) if kv else 0
    return bool(RESULT_BY_NAME[compare.result](actual, getattr(compare, field)))


def _run(
    keyspace: Keyspace, operation: Operation, events: list[Event]
) -> dict[str, Any]:
    if operation.request_range:
        return {"response_range": read_range(keyspace, operation.request_range)}
    # The answer to an operation has the revision that the transaction will commit.
    next_header = Header(str(keyspace.revision + 1))
    if operation.request_put:
        put = operation.request_put
        events.append(keyspace.put(put.key, put.value, put.lease))
        return {"response_put": {"header": next_header}}
    assert operation.request_delete_range
    delete = operation.request_delete_range
    deleted = keyspace.delete(delete.key, delete.range_end)
    events.extend(deleted)
    answer: dict[str, Any] = {"header": next_header}
    if deleted:
        answer["deleted"] = str(len(deleted))
    return {"response_delete_range": answer}
