"""Messages by which a process replicates the configuration from a peer."""

from wagtailcleat.ids import Revision
from wagtailcleat.wire.base import Message


class PullConfiguration(Message, frozen=True, tag="pull_configuration"):
    """Request for the changes after `revision`."""

    revision: Revision


class ConfigurationPart(Message, frozen=True, tag="configuration_part"):
    """One part, for example `vms/vm-1`; `value` is JSON, or empty if it was removed."""

    key: str
    revision: Revision
    value: bytes


class ConfigurationDelta(Message, frozen=True, tag="configuration_delta"):
    """Reply to `PullConfiguration`: all parts changed after the requested revision."""

    revision: Revision
    change_id: str
    parts: list[ConfigurationPart]
    whole: bool
    """Whether this is a full snapshot, so that parts not listed are removed."""
