"""Agents, workers and a store in one process on virtual time, for tests.

The agents are built by the production code. Only the HTTP request to the store and to
the worker is replaced, by a direct access to the stand-in's state. A kill cancels
every asyncio task that the agent has started, without a shutdown.
"""

import asyncio
from collections.abc import Coroutine
from contextvars import ContextVar
from typing import Any
from weakref import WeakSet

import msgspec

from standins.keyspace import Keyspace
from standins.serving import Record
from standins.store_messages import RangeRequest, TxnRequest
from standins.transactions import read_range, run_txn
from standins.virtual_time import VirtualLoop
from standins.worker_tasks import StartRequest, State
from standins.worker_tasks import Worker as WorkerState
from wagtailcleat.agent.app import Agent
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.platform.store import Store
from wagtailcleat.platform.worker import Worker, WorkerRefused, WorkerUnreachable
from wagtailcleat.resources import Resources
from wagtailcleat.settings import AgentSettings, Timing
from wagtailcleat.storage import Unavailable, Unknown
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.streams import Stream

SECRET = "a secret of the tests only"
UNUSED_URL = "http://127.0.0.1:1"
WALL_START = 1_800_000_000.0
LATENCY_SECONDS = 0.003
TICK_SECONDS = 0.25
CONNECT_TIMEOUT_SECONDS = 1.0
CANCEL_WAIT_SECONDS = 0.01

_agent_name: ContextVar[str] = ContextVar("agent", default="")


class AgentsDeployment:
    """One agent and one worker for each VM; a worker outlives its agent."""

    def __init__(
        self, zone_by_vm: dict[str, str], size: Resources, timing: Timing, shards: int
    ) -> None:
        """Start an agent on each VM; each VM has the capacity `size`."""
        self.loop = VirtualLoop()
        self.loop.set_task_factory(self._create_task)
        self.keyspace = Keyspace()
        self.zone_by_vm = zone_by_vm
        self.agent_by_vm: dict[str, Agent] = {}
        self.worker_by_vm = {vm: WorkerState(size, 0.5, Record()) for vm in zone_by_vm}
        self.isolated: set[str] = set()
        self.store_down = False
        self.store_answers_to_lose = 0
        self.worker_answers_to_lose = 0
        self._timing = timing
        self._shards = shards
        self._starts = 0
        self._tasks_by_vm: dict[str, WeakSet[asyncio.Task[Any]]] = {}
        for vm in zone_by_vm:
            self.start(vm)
        self.ticker = self.loop.create_task(self._tick())

    def start(self, vm: str) -> None:
        """Start the agent of a VM."""
        self._starts += 1
        self.loop.run(self._start(vm))

    def kill(self, vm: str) -> None:
        """Kill the agent of a VM, without a shutdown."""
        self.loop.run(self._kill(vm))

    def kill_vm(self, vm: str) -> None:
        """Simulate a VM failure: its agent and its tasks end immediately."""
        self.kill(vm)
        worker, now = self.worker_by_vm[vm], self.loop.time()
        worker.end_due_tasks(now)
        for task in worker.running():
            worker.end(task, State.LAPSED, now)
        worker.task_by_id.clear()

    def stop(self, vm: str) -> None:
        """Shut down the agent of a VM gracefully."""
        self.loop.run(self.agent_by_vm[vm].stop())
        self.kill(vm)

    def pass_time(self, seconds: float) -> None:
        """Advance virtual time by `seconds`."""
        self.loop.pass_time(seconds)

    def adopt(self, configuration: Configuration) -> None:
        """Apply an accepted configuration at all agents that are not isolated."""
        self.loop.run(self._adopt(configuration))

    def send_to_owner(
        self, vm: str, shard: int, message: AnyMessage
    ) -> AnyMessage | Lost:
        """Send a caller's message to the shard's owner through the agent of a VM."""
        node = self.agent_by_vm[vm].node
        owner = node.view.owner(shard)  # type: ignore[arg-type]
        if owner is None:
            return Lost(False, "no owner")
        call = node.peers.call(owner.host, owner.port, message, timeout=3.0)
        return self.loop.run(call)

    def close(self) -> None:
        """Kill all agents and close the event loop."""
        for vm in list(self.agent_by_vm):
            self.kill(vm)
        self.loop.end()

    def _create_task(
        self, loop: Any, work: Coroutine[Any, Any, Any], **options: Any
    ) -> Any:
        task = asyncio.Task(work, loop=loop, **options)
        self._tasks_by_vm.setdefault(_agent_name.get(), WeakSet()).add(task)
        return task

    async def _start(self, vm: str) -> None:
        _agent_name.set(vm)
        seeds = [agent.node.view.me for agent in self.agent_by_vm.values()]
        settings = AgentSettings(
            node=f"agent-{vm}",
            vm=vm,
            zone=self.zone_by_vm[vm],
            secret=SECRET,
            store=[UNUSED_URL],
            worker=UNUSED_URL,
            seeds=[f"{me.host}:{me.port}" for me in seeds],
            timing=self._timing,
            shards=self._shards,
        )
        loop, starts = self.loop, self._starts
        agent = Agent(
            settings,
            clock=loop.time,
            wall_clock=lambda: WALL_START + starts + loop.time(),
        )
        self._replace_store(agent.node.store)
        self._replace_worker(agent.worker, self.worker_by_vm[vm])
        self._install_isolation(vm, agent)
        self.agent_by_vm[vm] = agent
        agent.start()

    async def _kill(self, vm: str) -> None:
        agent = self.agent_by_vm.pop(vm)
        own_tasks = [task for task in self._tasks_by_vm.pop(vm, ()) if not task.done()]
        own_tasks = [task for task in own_tasks if task is not asyncio.current_task()]
        while own_tasks:
            for task in own_tasks:
                task.cancel()
            _, left = await asyncio.wait(own_tasks, timeout=CANCEL_WAIT_SECONDS)
            own_tasks = list(left)
        node = agent.node
        node.listener.stop()
        for stream in [*node.peers.streams, *node.listener.streams]:
            stream.close("killed")

    async def _adopt(self, configuration: Configuration) -> None:
        for vm, agent in self.agent_by_vm.items():
            if vm not in self.isolated:
                node = agent.node
                if node.in_force.adopt(configuration, self.loop.time()):
                    node.gossiper.configuration_changed()

    def isolate(self, vm: str) -> None:
        """Isolate an agent from all others, but not from its worker or the store."""
        self.isolated.add(vm)
        for agent in self.agent_by_vm.values():
            for stream in [*agent.node.peers.streams, *agent.node.listener.streams]:
                if vm in (stream.peer.removeprefix("agent-"), agent.node.view.me.vm):
                    stream.close("cut")

    def _install_isolation(self, vm: str, agent: Agent) -> None:
        open_stream = agent.node.peers.stream

        async def stream(host: str, port: int) -> Stream | Lost:
            found = [v for v, a in self.agent_by_vm.items() if _port(a) == port]
            if found != [vm] and self.isolated & {vm, *found}:
                await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
                return Lost(False, "cut")
            return await open_stream(host, port)

        agent.node.peers.stream = stream  # type: ignore[method-assign]

    async def _tick(self) -> None:
        while True:
            now = self.loop.time()
            self.keyspace.expire(now)
            for worker in self.worker_by_vm.values():
                worker.end_due_tasks(now)
            await asyncio.sleep(TICK_SECONDS)

    def _replace_store(self, store: Store) -> None:
        async def call(path: str, body: dict[str, Any], bucket: Any) -> Any:
            await asyncio.sleep(LATENCY_SECONDS)
            if self.store_down:
                store._circuit_breaker.record_failure(self.loop.time())
                return Unavailable("down")
            answer, wrote = self._store_answer(path, body)
            store._circuit_breaker.record_success()
            await asyncio.sleep(LATENCY_SECONDS)
            if wrote and self.store_answers_to_lose:
                self.store_answers_to_lose -= 1
                return Unknown("the answer was lost")
            return answer

        store._call = call  # type: ignore[method-assign]

    def _store_answer(self, path: str, body: dict[str, Any]) -> tuple[Any, bool]:
        keyspace, now = self.keyspace, self.loop.time()
        keyspace.expire(now)
        if path == "/v3/kv/range":
            request = msgspec.convert(body, RangeRequest, strict=False)
            return msgspec.to_builtins(read_range(keyspace, request)), False
        if path == "/v3/kv/txn":
            txn = msgspec.convert(body, TxnRequest, strict=False)
            answer, keys = run_txn(keyspace, txn)
            return msgspec.to_builtins(answer), bool(keys)
        if path == "/v3/lease/grant":
            lease = keyspace.grant(body["TTL"], now)
            return {"ID": str(lease), "TTL": str(body["TTL"])}, False
        if path == "/v3/lease/keepalive":
            left = keyspace.keep_alive(int(body["ID"]), now)
            return {"result": {"TTL": str(left)} if left else {}}, False
        if int(body["ID"]) in keyspace.lease_by_id:
            keyspace.revoke(int(body["ID"]), "revoke")
        return {}, False

    def _replace_worker(self, worker: Worker, state: WorkerState) -> None:
        async def call(
            method: str, path: str, body: dict[str, Any] | None = None
        ) -> Any:
            await asyncio.sleep(LATENCY_SECONDS)
            answer = self._worker_answer(state, method, path, body or {})
            await asyncio.sleep(LATENCY_SECONDS)
            if method != "GET" and self.worker_answers_to_lose:
                self.worker_answers_to_lose -= 1
                return WorkerUnreachable("the answer was lost")
            return answer

        worker._call = call  # type: ignore[method-assign]

    def _worker_answer(
        self, state: WorkerState, method: str, path: str, body: dict[str, Any]
    ) -> Any:
        now = self.loop.time()
        state.end_due_tasks(now)
        parts = path.strip("/").split("/")
        if path == "/capacity":
            return msgspec.structs.asdict(state.capacity)
        if path == "/tasks":
            return {"tasks": [task.to_dict() for task in state.task_by_id.values()]}
        if path == "/usage":
            return msgspec.to_builtins(state.usage(now))
        if path == "/leases":
            return _extend_leases(state, body["lease_until_by_id"])
        task = state.task_by_id.get(parts[1])
        if method == "PUT" and task is None:
            if body["lease_until"] <= now:
                return WorkerRefused("lapsed")
            task = state.start(parts[1], msgspec.convert(body, StartRequest), now)
        if task is None:
            return WorkerRefused("unknown")
        if method == "DELETE":
            del state.task_by_id[parts[1]]
        elif parts[-1] == "stop" and task.state is State.RUNNING:
            task.take_checkpoint(now)
            state.end(task, State.STOPPED, now)
        return task.to_dict()


def _extend_leases(state: WorkerState, until_by_id: dict[str, float]) -> dict[str, Any]:
    for task_id, until in until_by_id.items():
        task = state.task_by_id.get(task_id)
        if task is not None and task.state is State.RUNNING:
            task.lease_until = max(task.lease_until, until)
    return {"unknown": [i for i in until_by_id if i not in state.task_by_id]}


def _port(agent: Agent) -> int:
    return agent.node.view.me.port
