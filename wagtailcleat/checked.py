"""JSON read strictly: every problem reported at once, each with its path.

`msgspec.convert` stops at the first problem. An operator with five mistakes in an
inventory should see five lines, so structs are converted a field at a time.
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
        SettingsError: the text is not JSON, or says one thing twice.

    """
    problems: list[str] = []

    def unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        keys = [key for key, _ in pairs]
        problems.extend(
            f"$: key '{key}' stands twice in one object"
            for key in sorted({k for k in keys if keys.count(k) > 1})
        )
        return dict(pairs)

    def no_constant(name: str) -> float:
        problems.append(f"$: {name} is not a number of JSON")
        return math.nan

    try:
        value = json.loads(text, object_pairs_hook=unique, parse_constant=no_constant)
    except (ValueError, RecursionError) as error:
        raise SettingsError([f"$: not JSON: {error}"]) from None
    if problems:
        raise SettingsError(problems)
    return value


def convert(raw: Any, kind: type[T], *, path: str = "$") -> T:
    """Return `raw` as a `kind`, a msgspec struct.

    Raises:
        SettingsError: with every problem found, each `path: sentence`.

    """
    value, problems = convert_with_problems(raw, kind, path=path)
    if problems:
        raise SettingsError(problems)
    return value


def convert_with_problems(
    raw: Any, kind: type[T], *, path: str = "$"
) -> tuple[T, list[str]]:
    """Return `raw` as a `kind`, and every problem found.

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
        return _struct(raw, kind, path, problems)
    if get_origin(kind) in (list, tuple) and isinstance(raw, list):
        item_kind = get_args(kind)[0]
        items = [
            _convert(item, item_kind, f"{path}[{index}]", problems)
            for index, item in enumerate(raw)
        ]
        return tuple(items) if get_origin(kind) is tuple else items
    if get_origin(kind) is dict and isinstance(raw, dict):
        return _mapping(raw, kind, path, problems)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        described = _described(kind)
        if described and isinstance(raw, str):
            problems.append(f"{path}: {raw!r} is not {described}")
        else:
            problems.append(_located(path, str(error)))
        return None


def _struct(
    raw: Any, kind: type[msgspec.Struct], path: str, problems: list[str]
) -> Any:
    if not isinstance(raw, dict):
        problems.append(f"{path}: Expected `object`, got `{type(raw).__name__}`")
        return None
    fields = msgspec.structs.fields(kind)
    known = {field.encode_name for field in fields}
    problems.extend(
        f"{path}.{key}: unknown key; {_hint(key, known)}"
        for key in raw
        if key not in known
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


def _hint(key: str, known: set[str]) -> str:
    close = get_close_matches(key, sorted(known), n=1)
    if close:
        return f"did you mean '{close[0]}'?"
    return f"known are {', '.join(sorted(known))}"


def _mapping(raw: dict[str, Any], kind: Any, path: str, problems: list[str]) -> Any:
    key_kind, value_kind = get_args(kind)
    return {
        _convert(key, key_kind, f"{path} key '{key}'", problems): _convert(
            value, value_kind, f"{path}.{key}", problems
        )
        for key, value in raw.items()
    }


def _described(kind: Any) -> str:
    # A regular expression tells an operator little; the type may say it in words.
    metas = [arg for arg in get_args(kind)[1:] if isinstance(arg, msgspec.Meta)]
    return next((meta.description for meta in metas if meta.description), "")


def _located(path: str, message: str) -> str:
    sentence, _, inner = message.partition(" - at `$")
    return f"{path}{inner.rstrip('`')}: {sentence}"
