"""Watch what operators write to the store: the queues, and the zones taken out.

Entries watch both; agents watch the zones only.
"""

import asyncio
from collections.abc import Callable

from wagtailcleat.clock import boot_time
from wagtailcleat.ids import ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.fields import BodyError
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.platform.operators import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    ZONE_OUT_PREFIX,
    decode_configuration,
    zone_taken_out,
)
from wagtailcleat.scheduling.queues import QueueTable
from wagtailcleat.storage import Changes, HistoryGone, Listing

log = part_logger("operators")

RETRY_PAUSE_SECONDS = 0.2
"""Pause after a failed call; changes must take effect within 2 s."""


class OperatorWatch:
    """The operators' configuration and zones taken out, as last read or watched."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        wait_seconds: float,
        zones_only: bool = False,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a watch on `store`; `on_change` is called after each change.

        Parameters: `wait_seconds` limits one call of the watch, and so how long a
        silent connection goes unnoticed.
        """
        self.queues: QueueTable | None = None
        self.zones_out: frozenset[ZoneName] = frozenset()
        self.known = False
        self.heard_at = 0.0
        """When the store last answered, on this VM's clock."""
        self._store = store
        self._wait_seconds = wait_seconds
        self._prefix = ZONE_OUT_PREFIX if zones_only else OPERATOR_PREFIX
        self._on_change = on_change
        self._revision = 0

    def __repr__(self) -> str:
        """Show the queues and the zones out."""
        return f"<OperatorWatch {self.queues}, out: {sorted(self.zones_out)}>"

    async def run(self) -> None:
        """List, then watch, until cancelled."""
        while True:
            if not self.known and not await self._list():
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            changes = await self._store.changes(
                self._prefix, self._revision, wait_seconds=self._wait_seconds
            )
            if isinstance(changes, Changes):
                self.heard_at = boot_time()
                for event in changes.events:
                    self._apply(event.key, event.value)
                self._revision = max(self._revision, changes.store_revision)
                if changes.events:
                    self._on_change()
            elif isinstance(changes, HistoryGone):
                self.known = False
            elif not await self._list():
                # An interrupted watch may have missed nothing; a list makes sure.
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _list(self) -> bool:
        listing = await self._store.list(self._prefix)
        if not isinstance(listing, Listing):
            return False
        zones = {zone_taken_out(found.key) for found in listing.found}
        self._set_zones(frozenset(zone for zone in zones if zone is not None))
        for found in listing.found:
            if found.key == CONFIGURATION_KEY:
                self._apply_configuration(found.value)
        self._revision = listing.store_revision
        self.known = True
        self.heard_at = boot_time()
        self._on_change()
        return True

    def _apply(self, key: str, value: bytes | None) -> None:
        zone = zone_taken_out(key)
        if zone is not None and value is None:
            self._set_zones(self.zones_out - {zone})
        elif zone is not None:
            self._set_zones(self.zones_out | {zone})
        elif key == CONFIGURATION_KEY and value is not None:
            self._apply_configuration(value)

    def _set_zones(self, zones: frozenset[ZoneName]) -> None:
        if zones != self.zones_out:
            log.info("Zones taken out", extra={"zones": sorted(zones)})
        self.zones_out = zones

    def _apply_configuration(self, value: bytes) -> None:
        try:
            table = decode_configuration(value)
        except BodyError as error:
            log.error(
                "Stored configuration is unreadable", extra={"why": error.message}
            )
            return
        # A delayed answer may have an older version; the version never decreases.
        if self.queues is None or table.version > self.queues.version:
            self.queues = table
            log.info("Configuration in force", extra={"version": table.version})
