"""Watches the configuration in the store and passes each new one on.

Only entries watch the store; all other processes get the configuration by gossip.
"""

import asyncio
import random

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.keys import CONFIGURATION
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.configuration.writer import decode, read
from wagtailcleat.errors import SettingsError
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.gossip import Gossiper
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import Event, Unavailable

log = part_logger("configuration")

MEAN_RETRY_SECONDS = 1.0


class Follower:
    """Puts each configuration that the store accepted in force at this process."""

    def __init__(
        self,
        store: Store,
        in_force: InForce,
        gossiper: Gossiper,
        *,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Watch `store` and announce new revisions through `gossiper`."""
        self._store = store
        self._in_force = in_force
        self._gossiper = gossiper
        self._clock = clock
        self._random = rng

    async def run(self) -> None:
        """Read the configuration, then watch it; start over when the watch ends."""
        while True:
            stored = await read(self._store)
            if not isinstance(stored, Unavailable):
                self._adopt(stored.configuration)
                start_revision = stored.mod_revision + 1
                await self._store.watch(CONFIGURATION, start_revision, self._on_event)
            await asyncio.sleep(MEAN_RETRY_SECONDS * self._random.uniform(0.5, 1.5))

    def _adopt(self, configuration: Configuration) -> None:
        if self._in_force.adopt(configuration, self._clock()):
            revision = configuration.revision
            log.info("A configuration is in force", extra={"revision": revision})
            self._gossiper.configuration_changed()

    def _on_event(self, event: Event) -> None:
        if event.value is None or event.key != CONFIGURATION:
            return
        try:
            self._adopt(decode(event.value))
        except SettingsError as error:
            log.error("The stored configuration is invalid", extra={"why": str(error)})
