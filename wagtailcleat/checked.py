"""Strict JSON parsing and conversion that reports every problem with its path.

Readers of settings, inventories and rules call it. `msgspec.convert` stops at the
first problem; an operator with five mistakes in an inventory should see five lines, so
structs are converted field by field.
"""

import json
import math
from difflib import get_close_matches
from types import NoneType, UnionType
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from wagtailcleat.errors import SettingsError

T = TypeVar("T")


def read_json(text: str | bytes) -> Any:
    """Parse JSON, refusing duplicate keys, NaN and infinities.

    Raises:
        SettingsError: the text is not JSON, or an object has a duplicate key.

    """
    problems: list[str] = []

    def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        keys = [key for key, _ in pairs]
        problems.extend(
            f"$: key '{key}' stands twice in one object"
            for key in sorted({k for k in keys if keys.count(k) > 1})
        )
        return dict(pairs)

    def reject_constant(name: str) -> float:
        problems.append(f"$: {name} is not a number of JSON")
        return math.nan

    try:
        value = json.loads(
            text, object_pairs_hook=reject_duplicates, parse_constant=reject_constant
        )
    except (ValueError, RecursionError) as error:
        raise SettingsError([f"$: not JSON: {error}"]) from None
    if problems:
        raise SettingsError(problems)
    return value


def convert(raw: Any, kind: type[T], *, path: str = "$") -> T:
    """Return parsed JSON as an instance of `kind`, a msgspec struct.

    Raises:
        SettingsError: with every problem, each as `path: sentence`.

    """
    value, problems = convert_with_problems(raw, kind, path=path)
    if problems:
        raise SettingsError(problems)
    return value


def convert_with_problems(
    raw: Any, kind: type[T], *, path: str = "$"
) -> tuple[T, list[str]]:
    """Return parsed JSON as an instance of `kind`, and every problem.

    What could not be converted is None in the value, so that checks of the whole can
    continue with the rest and all problems are reported at once.
    """
    problems: list[str] = []
    return _convert(raw, kind, path, problems), problems


def _convert(raw: Any, kind: Any, path: str, problems: list[str]) -> Any:
    if get_origin(kind) is UnionType and NoneType in get_args(kind):
        if raw is None:
            return None
        kind = next(k for k in get_args(kind) if k is not NoneType)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _convert_struct(raw, kind, path, problems)
    if get_origin(kind) in (list, tuple) and isinstance(raw, list):
        item_kind = get_args(kind)[0]
        items = [
            _convert(item, item_kind, f"{path}[{index}]", problems)
            for index, item in enumerate(raw)
        ]
        return tuple(items) if get_origin(kind) is tuple else items
    if get_origin(kind) is dict and isinstance(raw, dict):
        return _convert_mapping(raw, kind, path, problems)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        type_description = _type_description(kind)
        if type_description and isinstance(raw, str):
            problems.append(f"{path}: {raw!r} is not {type_description}")
        else:
            problems.append(_problem_at(path, str(error)))
        return None


def _convert_struct(
    raw: Any, kind: type[msgspec.Struct], path: str, problems: list[str]
) -> Any:
    if not isinstance(raw, dict):
        problems.append(f"{path}: Expected `object`, got `{type(raw).__name__}`")
        return None
    fields = msgspec.structs.fields(kind)
    known_keys = {field.encode_name for field in fields}
    problems.extend(
        f"{path}.{key}: unknown key; {_hint(key, known_keys)}"
        for key in raw
        if key not in known_keys
    )
    values: dict[str, Any] = {}
    for field in fields:
        if field.encode_name in raw:
            values[field.name] = _convert(
                raw[field.encode_name],
                field.type,
                f"{path}.{field.encode_name}",
                problems,
            )
        elif field.required:
            problems.append(f"{path}.{field.encode_name}: missing")
            values[field.name] = None
    return kind(**values)


def _hint(key: str, known_keys: set[str]) -> str:
    close_matches = get_close_matches(key, sorted(known_keys), n=1)
    if close_matches:
        return f"did you mean '{close_matches[0]}'?"
    return f"known are {', '.join(sorted(known_keys))}"


def _convert_mapping(
    raw: dict[str, Any], kind: Any, path: str, problems: list[str]
) -> Any:
    key_kind, value_kind = get_args(kind)
    return {
        _convert(key, key_kind, f"{path} key '{key}'", problems): _convert(
            value, value_kind, f"{path}.{key}", problems
        )
        for key, value in raw.items()
    }


def _type_description(kind: Any) -> str:
    # A pattern is hard to read for an operator; a type may carry a description instead.
    metas = [arg for arg in get_args(kind)[1:] if isinstance(arg, msgspec.Meta)]
    return next((meta.description for meta in metas if meta.description), "")


def _problem_at(path: str, message: str) -> str:
    sentence, _, inner = message.partition(" - at `$")
    return f"{path}{inner.rstrip('`')}: {sentence}"
