"""Client of the advice service, which grants tickets to run a step on a worker.

The leader asks it about the steps of advised queues.
"""

from dataclasses import dataclass

from wagtailcleat.platform.fields import BodyError, get_list, get_number, text
from wagtailcleat.platform.http_client import HttpClient, Reply
from wagtailcleat.scheduling.advice import Question

OK = 200
MILLISECONDS = 1000


@dataclass(frozen=True)
class Granted:
    """Tickets by worker id, valid for `valid_seconds` after the answer."""

    ticket_by_worker: dict[str, str]
    valid_seconds: float


class AdviceService:
    """Client of the advice service at one address."""

    def __init__(self, address: str) -> None:
        """Create a client of the service at `address`, an `ip:port`."""
        self._client = HttpClient(address, max_clients=1)

    def __repr__(self) -> str:
        """Return a text with the address."""
        return f"<AdviceService {self._client}>"

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    async def ask(self, question: Question, *, timeout: float) -> Granted | None:
        """Return the tickets that the service grants.

        Return None without a valid answer within `timeout` seconds.
        """
        occurrence, number_of_step = question.step
        body = {
            "step": f"{question.job}.{occurrence}.{number_of_step}",
            "workers": [worker.id for worker in question.workers],
        }
        reply = await self._client.call("POST", "/advise", body, timeout=timeout)
        if not isinstance(reply, Reply) or reply.code != OK:
            return None
        try:
            return Granted(
                {
                    text(pair[0], "id"): text(pair[1], "ticket")
                    for pair in get_list(reply.body, "granted")
                },
                get_number(reply.body, "validMs", default=0.0) / MILLISECONDS,
            )
        except (BodyError, LookupError, TypeError):
            return None
