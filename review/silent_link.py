"""A proxy in front of an agent's control address, run in threads of the test.

On demand, the connection that carries a worker's `leave` goes silent for good once the
request has passed: no reset, and no answer. All other connections work.
"""

import socket
import threading
from contextlib import suppress

CHUNK_BYTES = 65_536


class SilentLink:
    """Forwards connections; the answer to a `leave` may be lost."""

    def __init__(self, host: str, target: tuple[str, int], *, loses_ack: bool) -> None:
        """Listen on a free port of `host`, and forward to `target`.

        Parameters: `loses_ack` makes the connection of a `leave` go silent.
        """
        self._target = target
        self._loses_ack = loses_ack
        self.silenced = 0
        """Number of connections that went silent."""
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(client,), daemon=True
                ).start()

    def _serve(self, client: socket.socket) -> None:
        with suppress(OSError):
            server = socket.create_connection(self._target)
            silent = threading.Event()
            threading.Thread(
                target=self._answer, args=(server, client, silent), daemon=True
            ).start()
            while data := client.recv(CHUNK_BYTES):
                if self._loses_ack and b"/leave " in data:
                    silent.set()
                    self.silenced += 1
                server.sendall(data)
            if not silent.is_set():
                server.shutdown(socket.SHUT_WR)

    def _answer(
        self, server: socket.socket, client: socket.socket, silent: threading.Event
    ) -> None:
        with suppress(OSError):
            while data := server.recv(CHUNK_BYTES):
                if not silent.is_set():
                    client.sendall(data)
            if not silent.is_set():
                client.close()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()
