"""A proxy that can cut the connections between a worker and its agent.

While it is cut, nothing passes: connections are accepted and hang. Of the calls that
got no answer for that reason, some can be delivered later.
"""

import socket
import threading
from contextlib import suppress

CHUNK_BYTES = 65_536
ANSWER_SECONDS = 1.0


class Cut:
    """Forwards connections to one address, unless it is cut."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Listen on a free port of this host, and forward to `target`."""
        self.is_cut = False
        self._target = target
        self._unanswered: list[bytes] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def deliver(self, path: bytes) -> list[bytes]:
        """Deliver the unanswered calls of a path now; return the lost answers."""
        answers = []
        for call in [call for call in self._unanswered if path in call]:
            with socket.create_connection(self._target) as server:
                server.settimeout(ANSWER_SECONDS)
                server.sendall(call)
                answers.append(server.recv(CHUNK_BYTES))
        return answers

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(client,), daemon=True
                ).start()

    def _serve(self, client: socket.socket) -> None:
        server: socket.socket | None = None
        with suppress(OSError):
            while data := client.recv(CHUNK_BYTES):
                if self.is_cut:
                    self._unanswered.append(data)
                    continue
                if server is None:
                    server = socket.create_connection(self._target)
                    threading.Thread(
                        target=self._answer, args=(server, client), daemon=True
                    ).start()
                server.sendall(data)
            if server is not None:
                server.shutdown(socket.SHUT_WR)

    def _answer(self, server: socket.socket, client: socket.socket) -> None:
        with suppress(OSError):
            while data := server.recv(CHUNK_BYTES):
                if not self.is_cut:
                    client.sendall(data)
            if not self.is_cut:
                client.close()
