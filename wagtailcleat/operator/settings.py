"""Settings of the command line: addresses of entries and the operators' token."""

from pathlib import Path
from typing import Annotated

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.errors import SettingsError
from wagtailcleat.settings import Url

Token = Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `wagtailcleat`; with several entries it survives the loss of one."""

    admin: list[Url] = []
    """Operators' addresses of entries, for example `http://10.0.0.1:7003`."""
    entry: list[Url] = []
    """Callers' addresses of entries, or the load balancer's."""
    token: Token = ""


def load(path: Path | None) -> OperatorSettings:
    """Read and check a settings file; without a file, return empty settings.

    Raises:
        SettingsError: with every problem found, each with its path.

    """
    if path is None:
        return OperatorSettings()
    return convert(read_json(read_file(path)), OperatorSettings)


def read_file(path: Path) -> bytes:
    """Return a file's content.

    Raises:
        SettingsError: the file can't be read.

    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError([f"$: can't be read: {error.strerror}"]) from None
