"""Every exception and refusal code of the project, under one base class."""

from enum import Enum


class Code(Enum):
    """Stable codes of refusals, shown to callers and operators."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONFLICT = "conflict"
    INVALID = "invalid"
    INFEASIBLE = "infeasible"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    UNAVAILABLE = "unavailable"
    RESTORING = "restoring"
    TOO_LARGE = "too_large"
    QUOTA = "quota"
    INTERNAL = "internal"


class WagtailcleatError(Exception):
    """Base class: an exception with a code and a sentence."""

    code = Code.INTERNAL

    def __init__(self, message: str, code: Code | None = None) -> None:
        """Keep the sentence and, where given, a code other than the class's."""
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __repr__(self) -> str:
        """Show the class, the code and the sentence."""
        return f"<{type(self).__name__} {self.code.value}: {self.message}>"


class SettingsError(WagtailcleatError):
    """Settings that can't be used; carries every problem with its path."""

    code = Code.INVALID

    def __init__(self, problems: list[str]) -> None:
        """Keep all `problems`, each a line `path: sentence`."""
        super().__init__("; ".join(problems))
        self.problems = problems


class ListenError(WagtailcleatError):
    """An address that this process can't listen on."""

    code = Code.UNAVAILABLE


class IdentityError(WagtailcleatError):
    """Another living process has this process's name."""

    code = Code.CONFLICT


class StreamError(WagtailcleatError):
    """A stream between two processes that can't be used any longer."""

    code = Code.UNAVAILABLE


class FrameError(StreamError):
    """Bytes on a stream that are no message of ours; the stream is closed."""

    code = Code.INVALID


class HelloError(StreamError):
    """A peer that could not prove the cluster secret or speaks another version."""

    code = Code.UNAUTHORIZED


class InvariantError(WagtailcleatError):
    """A broken invariant: the process must stop."""
