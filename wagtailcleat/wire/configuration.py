"""Messages that replicate the configuration."""

from wagtailcleat.ids import Revision
from wagtailcleat.wire.base import Message


class PullConfiguration(Message, frozen=True, tag="pull_configuration"):
    """Asks for the changes after `revision`."""

    revision: Revision


class ConfigurationPart(Message, frozen=True, tag="configuration_part"):
    """One part, for example `vms/vm-1`; `value` is JSON, empty where removed."""

    key: str
    revision: Revision
    value: bytes


class ConfigurationDelta(Message, frozen=True, tag="configuration_delta"):
    """All parts of the configuration changed after the revision asked for."""

    revision: Revision
    change_id: str
    parts: list[ConfigurationPart]
    whole: bool
    """Whether this is a full snapshot: parts not listed are removed."""
