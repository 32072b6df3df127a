"""Follows the configuration in the store; few processes do, the rest hear of it."""

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

RETRY_SECONDS = 1.0


class Follower:
    """Puts each configuration that the store accepts in force here."""

    def __init__(
        self,
        store: Store,
        in_force: InForce,
        gossiper: Gossiper,
        *,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Follow `store` and push what is new through `gossiper`."""
        self._store = store
        self._in_force = in_force
        self._gossiper = gossiper
        self._clock = clock
        self._random = rng

    async def run(self) -> None:
        """Read, then watch; again whenever the watch is cut."""
        while True:
            stored = await read(self._store)
            if not isinstance(stored, Unavailable):
                self._take(stored.configuration)
                start = stored.mod_revision + 1
                await self._store.watch(CONFIGURATION, start, self._on_event)
            await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.5))

    def _take(self, configuration: Configuration) -> None:
        if self._in_force.adopt(configuration, self._clock()):
            revision = configuration.revision
            log.info("A configuration is in force", extra={"revision": revision})
            self._gossiper.configuration_changed()

    def _on_event(self, event: Event) -> None:
        if event.value is None or event.key != CONFIGURATION:
            return
        try:
            self._take(decode(event.value))
        except SettingsError as error:
            log.error("The store holds no configuration", extra={"why": str(error)})
