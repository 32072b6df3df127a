"""Errors for invalid options of the bench's commands."""

from collections.abc import Iterable


class BadValueError(Exception):
    """An option's value is not allowed; the message names it and the allowed values."""

    def __init__(self, option: str, value: object, allowed: Iterable[str] | str):
        """Create the error; `allowed` is the allowed names, or a range as text."""
        known = allowed if isinstance(allowed, str) else ", ".join(sorted(allowed))
        super().__init__(f"{option}: got {value!r}, allowed: {known}")


def check_range(option: str, value: float, low: float, high: float) -> None:
    """Raise `BadValueError` if `value` is not from `low` to `high`, both included."""
    if not low <= value <= high:
        raise BadValueError(option, value, f"{low:g} to {high:g}")
