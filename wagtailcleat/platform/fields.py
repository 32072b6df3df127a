"""Reading decoded bodies whose fields may be missing or of another type."""

import json
from typing import Any

from wagtailcleat.errors import Code, WagtailcleatError


class BodyError(WagtailcleatError):
    """A body that can't be read as what it should be."""

    code = Code.INVALID


MAX_NUMBER = 2**53
"""Larger numbers are not exact in JSON, and fit into no field of ours."""


def _sane(value: float) -> bool:
    # Also false for what is no number (NaN), which Python's JSON reader lets pass.
    return 0 <= value <= MAX_NUMBER


def read_object(body: bytes) -> dict[str, Any]:
    """Return a JSON object.

    Raises:
        BodyError: the bytes are no JSON object.

    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BodyError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise BodyError("not a JSON object")
    return value


def text(raw: dict[str, Any], name: str, *, default: str | None = None) -> str:
    """Return a field that is text."""
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise BodyError(f"{name}: missing or no text")
    return value


def whole(raw: dict[str, Any], name: str, *, default: int | None = None) -> int:
    """Return a field that is a whole number of 0 or more."""
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not _sane(value):
        raise BodyError(f"{name}: missing or no whole number of 0 or more")
    return value


def number(raw: dict[str, Any], name: str, *, default: float | None = None) -> float:
    """Return a field that is a number of 0 or more."""
    value = raw.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not _sane(value)
    ):
        raise BodyError(f"{name}: missing or no number of 0 or more")
    return float(value)


def flag(raw: dict[str, Any], name: str) -> bool:
    """Return a field that is true or false; false where it is missing."""
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise BodyError(f"{name}: not true or false")
    return value


def rows(raw: dict[str, Any], name: str) -> list[Any]:
    """Return a field that is a list; empty where it is missing."""
    value = raw.get(name, [])
    if not isinstance(value, list):
        raise BodyError(f"{name}: no list")
    return value


def table(raw: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a field that is an object; empty where it is missing."""
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise BodyError(f"{name}: no object")
    return value
