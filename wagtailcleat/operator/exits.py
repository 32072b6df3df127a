"""Exit codes of the command line, and advice to operators on each refusal code."""

from enum import IntEnum

from wagtailcleat.errors import Code


class Exit(IntEnum):
    """Exit codes of every command; documented in docs/ADMIN.md."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_REACHED = 4
    OUTCOME_UNKNOWN = 5
    TIMED_OUT = 6


EXIT_BY_CODE = {
    Code.CONFLICT.value: Exit.CONFLICT,
    Code.UNAVAILABLE.value: Exit.NOT_REACHED,
    Code.NOT_RUN.value: Exit.NOT_REACHED,
    Code.OUTCOME_UNKNOWN.value: Exit.OUTCOME_UNKNOWN,
}
ADVICE_BY_CODE = {
    Code.UNAVAILABLE.value: "nothing was done; running work continues; try again later",
    Code.NOT_RUN.value: "nothing was done; try again later",
    Code.UNAUTHORIZED.value: (
        "set `token` in the settings file to the entries' `admin_token`"
    ),
    Code.INFEASIBLE.value: "ask for less, or add a VM that holds it to the inventory",
    Code.QUOTA.value: "ask for less, or raise the team's quota in the rules",
    Code.TOO_LARGE.value: "send less",
}


def exit_for(code: str) -> Exit:
    """Return the exit code for a refusal code."""
    return EXIT_BY_CODE.get(code, Exit.REFUSED)


def advice_for(code: str) -> str:
    """Return what to do about a refusal; empty where its message says so."""
    return ADVICE_BY_CODE.get(code, "")
