"""Reads and checks inventory and rules files, before any call to an entry."""

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
class CheckedFile:
    """A file's content and its problems, each prefixed with the file's path.

    `raw` is None where the file can't be read or is no JSON.
    """

    raw: Any
    problems: list[str]


def read_inventory(path: Path) -> CheckedFile:
    """Read and check an inventory."""
    return _check_file(path, lambda raw: check_inventory(raw)[1])


def read_rules(path: Path) -> CheckedFile:
    """Read and check rules."""
    return _check_file(path, lambda raw: check_rules(raw)[1])


def read_inventory_or_rules(path: Path) -> CheckedFile:
    """Read and check a file that is an inventory or rules; its keys decide which."""
    return _check_file(path, _inventory_or_rules_problems)


def _inventory_or_rules_problems(raw: Any) -> list[str]:
    if not isinstance(raw, dict):
        return ["$: neither an inventory nor rules: it is no object"]
    if len(_field_names(Rules) & raw.keys()) > len(
        _field_names(Inventory) & raw.keys()
    ):
        return check_rules(raw)[1]
    return check_inventory(raw)[1]


def _field_names(kind: type[msgspec.Struct]) -> set[str]:
    return {field.encode_name for field in msgspec.structs.fields(kind)}


def _check_file(path: Path, find_problems: Any) -> CheckedFile:
    try:
        raw = read_json(read_file(path))
    except SettingsError as error:
        return CheckedFile(None, [f"{path}: {problem}" for problem in error.problems])
    return CheckedFile(raw, [f"{path}: {problem}" for problem in find_problems(raw)])
