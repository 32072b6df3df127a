"""Checked access to JSON bodies whose fields may be missing or of the wrong type.

The clients and servers of this package decode every message with these functions.
Each `get_` function raises `BodyError` where the field has another type, or where it
is missing and there is no default.
"""

import json
from typing import Any

from wagtailcleat.errors import Code, WagtailcleatError


class BodyError(WagtailcleatError):
    """A message body that is no JSON object, or has a missing or invalid field."""

    code = Code.INVALID


MAX_NUMBER = 2**53
"""Larger integers are not exact in JSON, and no field of this package holds them."""


def _is_in_range(value: float) -> bool:
    # Also false for NaN, which Python's JSON parser accepts.
    return 0 <= value <= MAX_NUMBER


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse `body` and return the JSON object.

    Raises:
        BodyError: `body` is not JSON, or not an object.

    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BodyError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise BodyError("not a JSON object")
    return value


def get_text(raw: dict[str, Any], name: str, *, default: str | None = None) -> str:
    """Return the string field `name`."""
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise BodyError(f"{name}: missing or no text")
    try:
        value.encode()
    except UnicodeEncodeError:
        # JSON can escape one half of a surrogate pair, which no other format holds.
        raise BodyError(f"{name}: no valid Unicode") from None
    return value


def get_integer(raw: dict[str, Any], name: str, *, default: int | None = None) -> int:
    """Return the integer field `name`, from 0 to `MAX_NUMBER`."""
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not _is_in_range(value):
        raise BodyError(f"{name}: missing or no whole number of 0 or more")
    return value


def get_number(
    raw: dict[str, Any], name: str, *, default: float | None = None
) -> float:
    """Return the number field `name`, from 0 to `MAX_NUMBER`, as a float."""
    value = raw.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not _is_in_range(value)
    ):
        raise BodyError(f"{name}: missing or no number of 0 or more")
    return float(value)


def whole(value: object, name: str) -> int:
    """Return a number from 0 to `MAX_NUMBER`, without its fraction."""
    return int(get_number({name: value}, name))


def text(value: object, name: str) -> str:
    """Return a string."""
    return get_text({name: value}, name)


def get_boolean(raw: dict[str, Any], name: str) -> bool:
    """Return the boolean field `name`; False where it is missing."""
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise BodyError(f"{name}: not true or false")
    return value


def get_list(raw: dict[str, Any], name: str) -> list[Any]:
    """Return the list field `name`; an empty list where it is missing."""
    value = raw.get(name, [])
    if not isinstance(value, list):
        raise BodyError(f"{name}: no list")
    return value


def get_object(raw: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the object field `name`; an empty one where it is missing."""
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise BodyError(f"{name}: no object")
    return value
