"""Bad input to the bench."""

from collections.abc import Iterable


class BadValueError(Exception):
    """A value outside what is allowed; the message names both."""

    def __init__(self, option: str, value: object, allowed: Iterable[str] | str):
        """Take the option, its value, and the names or the range allowed."""
        known = allowed if isinstance(allowed, str) else ", ".join(sorted(allowed))
        super().__init__(f"{option}: got {value!r}, allowed: {known}")


def check_range(option: str, value: float, low: float, high: float) -> None:
    """Raise `BadValueError` where `value` is not from `low` to `high`."""
    if not low <= value <= high:
        raise BadValueError(option, value, f"{low:g} to {high:g}")
