"""Child processes for tests and benchmarks, and an HTTP client to call them."""

import atexit
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from io import BytesIO
from pathlib import Path
from typing import Any, TypeVar

import pycurl

T = TypeVar("T")

ROOT = Path(__file__).resolve().parent.parent
POLL_SECONDS = 0.01
READY_SECONDS = 15.0
STOP_SECONDS = 10.0
READY = "ready "
PORT_IN_USE_MESSAGE = "Address already in use"
PORT_RETRY_SECONDS = 0.1


def refuses(port: int) -> bool:
    """Return whether connections to a port of this machine are refused."""
    try:
        socket.create_connection(("127.0.0.1", port)).close()
    except ConnectionRefusedError:
        return True
    return False


def let_children_receive_signals() -> None:
    """Let processes started from now on not inherit that a signal is ignored.

    A shell starts commands in the background so. A signal with a handler has its
    default effect in a new process.
    """
    for number in (signal.SIGHUP, signal.SIGINT):
        if signal.getsignal(number) is signal.SIG_IGN:
            signal.signal(number, lambda number, frame: None)


def wait_for(condition: Callable[[], T | None], timeout: float, what: str) -> T:
    """Poll `condition` until its value is true, and return that value.

    Raises:
        AssertionError: it was not true within `timeout` seconds; names `what` and the
            last value.

    """
    end = time.monotonic() + timeout
    while True:
        last = condition()
        if last:
            return last
        if time.monotonic() >= end:
            raise AssertionError(f"{what}: not within {timeout} s, last seen {last!r}")
        time.sleep(POLL_SECONDS)


class HttpError(Exception):
    """A request without a complete answer; `code` is curl's error code."""

    def __init__(self, code: int, message: str) -> None:
        """Store curl's error code and message."""
        super().__init__(message)
        self.code = code


class Response:
    """A complete HTTP answer; header names are in lower case."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Store the parts of the answer."""
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    def __repr__(self) -> str:
        """Show the status and the start of the body."""
        return f"Response({self.status}, {self.body[:200]!r})"


def http(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> Response:
    """Make one request; a body that is not bytes is sent as JSON.

    Raises:
        HttpError: no complete answer came within `timeout` seconds.

    """
    received = BytesIO()
    header_by_name: dict[str, str] = {}
    curl = _curl(method, url, body, headers)
    curl.setopt(pycurl.TIMEOUT_MS, int(timeout * 1000))
    curl.setopt(pycurl.WRITEDATA, received)
    curl.setopt(pycurl.HEADERFUNCTION, _header_reader(header_by_name))
    try:
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        raise HttpError(*error.args) from None
    finally:
        curl.close()
    return Response(status, header_by_name, received.getvalue())


def _curl(
    method: str, url: str, body: Any, headers: dict[str, str] | None
) -> pycurl.Curl:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.NOBODY, method == "HEAD")
    curl.setopt(pycurl.PROXY, "")
    sent = {"Expect": "", "Content-Type": "application/json"} | (headers or {})
    lines = [f"{name}: {value}".rstrip() for name, value in sent.items()]
    curl.setopt(pycurl.HTTPHEADER, lines)
    if body is not None or method in ("POST", "PUT"):
        raw = body if isinstance(body, bytes) else _json(body)
        curl.setopt(pycurl.POSTFIELDS, raw)
    return curl


def _json(body: Any) -> bytes:
    return b"" if body is None else json.dumps(body).encode()


def _header_reader(header_by_name: dict[str, str]) -> Callable[[bytes], None]:
    def read(line: bytes) -> None:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            header_by_name[name.strip().lower()] = value.strip()

    return read


class Stream:
    """A streamed answer, read line by line in a thread: a watch or an event stream."""

    def __init__(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Open the stream."""
        self.lines: list[str] = []
        self.ended = False
        self._partial_line = b""
        self._socket: socket.socket | None = None
        self._curl = _curl(method, url, body, headers)
        self._curl.setopt(pycurl.WRITEFUNCTION, self._read)
        self._curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the connection and wait for the thread."""
        if self._socket:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join()

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        self._socket = socket.socket(address[0], address[1], address[2])
        return self._socket

    def _read(self, chunk: bytes) -> None:
        *whole, self._partial_line = (self._partial_line + chunk).split(b"\n")
        self.lines.extend(line.decode() for line in whole)

    def _run(self) -> None:
        try:
            self._curl.perform()
        except pycurl.error:
            pass
        finally:
            self._curl.close()
            self.ended = True


class Process:
    """A child process that prints a ready line; its output is redirected to files."""

    def __init__(
        self, name: str, folder: Path, module: str, arguments: Sequence[str] = ()
    ) -> None:
        """Start `python -m module arguments` and wait until it is ready."""
        self.name = name
        self.folder = folder
        self.module = module
        self.arguments = list(arguments)
        self.ready: dict[str, Any] = {}
        self.stderr = folder / f"{name}.stderr"
        self._stdout = folder / f"{name}.stdout"
        self._frozen = False
        self.start()
        # A test run that ends with an exception must not leave its processes running.
        atexit.register(self.kill)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def is_standin(self) -> bool:
        """Whether it is a stand-in for the platform, which has fault switches."""
        return self.module.startswith("standins.")

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._child.poll() is None

    @property
    def url(self) -> str:
        """The URL of its (first) HTTP port."""
        port = self.ready.get("http_port") or self.ready["port"]
        return f"http://127.0.0.1:{port}"

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while it runs, and the negated signal that ended it."""
        return self._child.poll()

    def start(self) -> None:
        """Start the program and wait until it is ready; restart it on the same ports.

        While the process is down, the kernel may assign its port to an outgoing
        connection of another process; a restart retries until the port is free.
        """
        end = time.monotonic() + READY_SECONDS
        while True:
            try:
                self._start()
                return
            except AssertionError:
                taken = self.ready and PORT_IN_USE_MESSAGE in self.stderr.read_text()
                if not taken or time.monotonic() >= end:
                    raise
                time.sleep(PORT_RETRY_SECONDS)

    def _start(self) -> None:
        command = [sys.executable, "-m", self.module, *self.arguments]
        command += self._port_arguments()
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
        if self._stdout.exists():
            with self._stdout.with_suffix(".earlier").open("ab") as earlier:
                earlier.write(self._stdout.read_bytes())
        with self._stdout.open("wb") as out, self.stderr.open("ab") as err:
            self._child = subprocess.Popen(
                command, stdout=out, stderr=err, cwd=self.folder, env=environment
            )
        try:
            self.ready = wait_for(
                self._ready_line, READY_SECONDS, f"{self.name} is ready"
            )
        except AssertionError as error:
            self.kill()
            raise AssertionError(f"{error}\n{self.stderr.read_text()}") from None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self._child.kill()
        self._child.wait()
        self._frozen = False

    def terminate(self, timeout: float = STOP_SECONDS) -> int:
        """Send SIGTERM, wait for the end and return the exit code."""
        self.thaw()
        self._child.terminate()
        return self._child.wait(timeout)

    def signal_to_stop(self) -> None:
        """Send SIGTERM without waiting for the end."""
        self._child.terminate()

    def send_signal(self, number: int) -> None:
        """Send a signal; nothing happens if the process has ended."""
        self._child.send_signal(number)

    def wait_for_end(self, timeout: float = STOP_SECONDS) -> None:
        """Wait until the process has ended; kill it after `timeout` seconds."""
        try:
            self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()

    def close(self) -> None:
        """Stop the process; kill it if it does not end after SIGTERM."""
        try:
            self.terminate()
        except subprocess.TimeoutExpired:
            self.kill()

    def freeze(self) -> None:
        """Pause the process with SIGSTOP, as a paused VM would."""
        self._child.send_signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Resume a frozen process."""
        if self._frozen:
            self._child.send_signal(signal.SIGCONT)
            self._frozen = False

    def rss_mb(self) -> float:
        """Return the resident memory in megabytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def cpu_seconds(self) -> float:
        """Return the processor time used so far."""
        text = Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def faults(self, **switches: Any) -> None:
        """Set fault switches of a stand-in; without arguments, reset them all."""
        method = "PUT" if switches else "DELETE"
        response = http(method, self._control_url("faults"), switches or None)
        assert response.status == 200, response

    def record(self) -> dict[str, Any]:
        """Return the record of a stand-in."""
        shown: dict[str, Any] = http("GET", self._control_url("record")).json()
        return shown

    def _port_arguments(self) -> list[str]:
        if not self.is_standin:
            return []
        names = [name for name in ("port", "control_port") if name in self.ready]
        pairs = [(f"--{n.replace('_', '-')}", str(self.ready[n])) for n in names]
        return [argument for pair in pairs for argument in pair]

    def _control_url(self, name: str) -> str:
        port = self.ready.get("control_port") or self.ready["port"]
        prefix = "/_standin" if self.module == "standins.endpoint" else ""
        return f"http://127.0.0.1:{port}{prefix}/{name}"

    def _ready_line(self) -> dict[str, Any] | None:
        line, newline, _ = self._stdout.read_text().partition("\n")
        if newline and line.startswith(READY):
            ready: dict[str, Any] = json.loads(line.removeprefix(READY))
            return ready
        if not self.alive:
            raise AssertionError(f"{self.name} ended with {self._child.returncode}")
        return None
