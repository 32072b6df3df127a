"""The exceptions of the project, under one base class, and the refusal codes."""

from enum import Enum


class Code(Enum):
    """Stable refusal codes, which callers and operators see."""

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
    """Base class of all exceptions: a code and a message."""

    code = Code.INTERNAL

    def __init__(self, message: str, code: Code | None = None) -> None:
        """Store the message and, where given, a code other than the class's."""
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __repr__(self) -> str:
        """Show the class, the code and the message."""
        return f"<{type(self).__name__} {self.code.value}: {self.message}>"


class SettingsError(WagtailcleatError):
    """Invalid settings, inventory or rules; carries every problem with its path."""

    code = Code.INVALID

    def __init__(self, problems: list[str]) -> None:
        """Store all `problems`, each as `path: sentence`."""
        super().__init__("; ".join(problems))
        self.problems = problems


class ListenError(WagtailcleatError):
    """This process can't listen on an address."""

    code = Code.UNAVAILABLE


class IdentityError(WagtailcleatError):
    """Another running process has this process's node name."""

    code = Code.CONFLICT


class StreamError(WagtailcleatError):
    """A stream between two processes is broken or closed."""

    code = Code.UNAVAILABLE


class FrameError(StreamError):
    """Bytes on a stream are not a valid frame; the stream is closed."""

    code = Code.INVALID


class HelloError(StreamError):
    """A peer failed to prove the cluster secret or speaks another version."""

    code = Code.UNAUTHORIZED


class InvariantError(WagtailcleatError):
    """An internal invariant does not hold; the process must stop."""
