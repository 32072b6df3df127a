"""Inventory and rules files: read and checked here, before an entry is asked."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from wagtailcleat.checked import read_json
from wagtailcleat.configuration.check import check_inventory, check_rules
from wagtailcleat.configuration.models import Inventory, Rules
from wagtailcleat.errors import SettingsError
from wagtailcleat.operator.settings import read_file


@dataclass(frozen=True)
class Checked:
    """A file's content and its problems, each with the file's name."""

    raw: Any
    problems: list[str]


def read_inventory(path: Path) -> Checked:
    """Read and check an inventory."""
    return _checked(path, lambda raw: check_inventory(raw)[1])


def read_rules(path: Path) -> Checked:
    """Read and check rules."""
    return _checked(path, lambda raw: check_rules(raw)[1])


def read_either(path: Path) -> Checked:
    """Read and check a file that is an inventory or rules, by the keys it has."""
    return _checked(path, _either_problems)


def _either_problems(raw: Any) -> list[str]:
    if not isinstance(raw, dict):
        return ["$: neither an inventory nor rules: it is no object"]
    if len(_keys(Rules) & raw.keys()) > len(_keys(Inventory) & raw.keys()):
        return check_rules(raw)[1]
    return check_inventory(raw)[1]


def _keys(kind: type[msgspec.Struct]) -> set[str]:
    return {field.encode_name for field in msgspec.structs.fields(kind)}


def _checked(path: Path, problems_of: Any) -> Checked:
    try:
        raw = read_json(read_file(path))
    except SettingsError as error:
        return Checked(None, [f"{path}: {problem}" for problem in error.problems])
    return Checked(raw, [f"{path}: {problem}" for problem in problems_of(raw)])
