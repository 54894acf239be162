"""Simulated nodes, a table with injected faults and an upstream, in virtual time."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from multidict import CIMultiDict

from peridottrack.call import Call, Response, build_chain
from peridottrack.claims import ClaimRecord, ClaimState, RowClaimStore
from peridottrack.clock import LoopClock, VirtualLoop
from peridottrack.controllers.claims import ClaimsController
from peridottrack.document import RouteConfig
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import RequestError
from peridottrack.filters.claim import ClaimFilter
from peridottrack.filters.deadline import deadline_filter
from peridottrack.filters.dispatch import check_deadline
from peridottrack.journal import JournalClaimStore
from peridottrack.metrics import Metrics
from peridottrack.poison import fingerprint
from peridottrack.shards import read_shard
from peridottrack.standin.faults import FaultPlan
from peridottrack.standin.memory import MemoryObjects, MemoryTable
from peridottrack.store import scan
from peridottrack.types import InstanceId, NodeId, RequestId

ROUTE = RouteConfig(path="/orders", methods=["POST"], service="orders", key="required")
DEADLINE_MS = 1_500


class LoopWallClock(LoopClock):
    """A wall clock that follows the event loop's time, so that a run can be replayed."""

    def wall(self) -> float:
        return self.now()


class PausableTable:
    """One node's access to the table; while the node is paused, no result reaches it."""

    def __init__(self, table):
        self._table = table
        self.awake = asyncio.Event()
        self.awake.set()

    async def get(self, key):
        return await self._run_while_awake(self._table.get, key)

    async def query(self, partition, after=None, limit=100):
        return await self._run_while_awake(self._table.query, partition, after, limit)

    async def transact(self, writes, writer):
        return await self._run_while_awake(self._table.transact, writes, writer)

    async def _run_while_awake(self, operation, *arguments):
        await self.awake.wait()
        result = await operation(*arguments)
        await self.awake.wait()
        return result


def make_row_claims(world, node):
    return RowClaimStore(node.table, LoopWallClock())


def make_journal_claims(world, node):
    return JournalClaimStore(
        NodeId(node.name),
        2,
        0.02,
        node.table,
        PausableObjects(world.objects, node.table),
        DirectShards(world),
        lambda shard: NodeId(world.nodes[(world.owner + shard) % 2].name),
        LoopWallClock(),
    )


class PausableObjects:
    """One node's access to the object store; blocked while the node is paused."""

    def __init__(self, objects, table):
        self._objects, self._table = objects, table

    async def get(self, name):
        await self._table.awake.wait()
        return await self._objects.get(name)

    async def put_if_absent(self, name, body):
        await self._table.awake.wait()
        return await self._objects.put_if_absent(name, body)


class DirectShards:
    """Calls the owner's store directly; a paused or killed owner does not answer in time."""

    TIMEOUT_S = 1.0

    def __init__(self, world):
        self._world = world

    async def claim(self, owner, entry):
        return await self._call_owner(owner, lambda store: store.claim_as_owner(entry))

    async def finish(self, owner, entry, withdraw):
        return await self._call_owner(owner, lambda store: store.finish_as_owner(entry, withdraw))

    async def _call_owner(self, owner, operation):
        node = next((node for node in self._world.nodes if node.name == owner), None)
        if node is None or self._world.loses_next_message():
            return None

        async def handle():
            await node.table.awake.wait()
            return await operation(node.store)

        task = asyncio.ensure_future(handle())
        done, _ = await asyncio.wait([task], timeout=self.TIMEOUT_S)
        if not done or self._world.loses_next_message():
            return None
        return task.result()


@dataclass
class CallerResult:
    """Result that the caller of one request received."""

    key: str
    body: bytes
    request_id: str
    ran: Ran
    answer: bytes | None = None


@dataclass
class Upstream:
    """Counts the requests that ran; each call consumes the next entry of ``behaviours``."""

    runs_by_key: Counter = field(default_factory=Counter)
    ran_requests: set = field(default_factory=set)
    started_late: int = 0
    behaviours: list = field(default_factory=list)
    work_s: float = 0.05
    check_deadline: Callable = check_deadline
    before_check: Callable = lambda: None

    async def __call__(self, call: Call) -> Response:
        behaviour = self.behaviours.pop(0) if self.behaviours else "ok"
        if behaviour == "queue":
            await asyncio.sleep(2 * DEADLINE_MS / 1000)
            behaviour = "ok"
        if behaviour == "shed":
            raise RequestError(ErrorKind.UPSTREAM_SHED)
        self.before_check()
        now = asyncio.get_running_loop().time()
        self.check_deadline(call, now)
        if now > call.deadline:
            self.started_late += 1
        call.progress.dispatched.append(InstanceId("i"))
        if behaviour != "break_before":
            key = call.request.headers["Idempotency-Key"]
            self.runs_by_key[key] += 1
            self.ran_requests.add(call.request_id)
        if behaviour in ("break_before", "break_after"):
            call.progress.outcome_unknown = True
            raise RequestError(ErrorKind.UPSTREAM_FAILED)
        await asyncio.sleep(60 if behaviour == "hang" else self.work_s)
        body = f"{call.request.headers['Idempotency-Key']} {call.body!r}".encode()
        return Response(200, CIMultiDict(), body)


class Node:
    """The part of a node that handles claims, from the deadline filter to the upstream."""

    numbers = itertools.count(1)

    def __init__(self, world: World):
        self.table = PausableTable(world.table)
        self.name = f"node-{next(self.numbers)}"
        self.store = store = world.make_store(world, self)
        self.claims = ClaimsController(
            store, self.name, LoopWallClock(), random.Random(5), Metrics()
        )
        self.filter = ClaimFilter(self.claims)
        self.chain = build_chain([deadline_filter, self.filter], world.upstream)
        self.is_killed = False

    def kill(self):
        """Stop at once, as a killed process does; requests that were sent continue."""
        self.is_killed = True
        self.table.awake = asyncio.Event()


class World:
    """Two nodes, one upstream, one table."""

    def __init__(self, make_store=make_row_claims, check_deadline=check_deadline, nodes: int = 2):
        self.loop = VirtualLoop()
        self.faults = FaultPlan()
        self.table = MemoryTable(self.faults)
        self.upstream = Upstream(check_deadline=check_deadline)
        self.make_store = make_store
        self.killed: set[str] = set()
        self.objects = MemoryObjects(self.faults)
        self.owner = 0
        self.lost_messages: list[bool] = []
        self._calls: set[asyncio.Task] = set()
        self.results: list[CallerResult] = []
        self._ids = itertools.count(1)
        self.nodes = self.do(self._make_nodes(nodes))

    async def _make_nodes(self, count):
        return [Node(self) for _ in range(count)]

    def do(self, operation):
        return self.loop.run_until_complete(operation)

    def advance(self, seconds: float):
        self.do(asyncio.sleep(seconds))

    def send(self, key: str, body: bytes, number: int = 0):
        """Send a request to a node; its result is appended to ``results``."""
        node = self.nodes[number]

        async def start():
            task = asyncio.ensure_future(self._run(node, key, body))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

        self.do(start())

    async def _run(self, node, key, body):
        headers = CIMultiDict({"Idempotency-Key": key, "Peridot-Deadline-Ms": str(DEADLINE_MS)})
        request = SimpleNamespace(headers=headers, method="POST")
        request_id = RequestId(f"r{next(self._ids)}")
        call = Call(request, request_id, self.loop.time(), route=ROUTE, body=body)
        call.credential = "c"
        call.fingerprint = fingerprint("POST", "/orders", body)
        try:
            answer = await node.chain(call)
            result = CallerResult(key, body, request_id, Ran.YES, answer.body)
        except RequestError as error:
            result = CallerResult(key, body, request_id, RULE_BY_KIND[error.kind].ran)
        if not node.is_killed:
            self.results.append(result)

    def kill(self, number: int):
        self.nodes[number].kill()
        self.killed.add(self.nodes[number].name)

        async def replace():
            self.nodes[number] = Node(self)

        self.do(replace())

    def check(self):
        """Check the guarantees that must hold at any moment."""
        assert all(count <= 1 for count in self.upstream.runs_by_key.values()), "ran twice"
        assert self.upstream.started_late == 0, "ran after its deadline"
        for result in self.results:
            if result.ran is Ran.NO:
                assert (
                    result.request_id not in self.upstream.ran_requests
                ), "reported as not run, but ran"
            if result.answer is not None:
                assert (
                    result.answer == f"{result.key} {result.body!r}".encode()
                ), "response to another request"

    def settle(self):
        """End all faults and check that every finished order can be traced."""
        self.faults.queued.clear()
        self.lost_messages.clear()
        for node in self.nodes:
            node.table.awake.set()
        self.advance(300)
        self.check()
        for node in self.nodes:
            assert not node.claims._repairs, "a write to the store is still pending"
        for record in self.records():
            assert (
                record.state is not ClaimState.CLAIMED or record.node in self.killed
            ), "claim was not settled"
            if record.state is ClaimState.DONE:
                assert record.instances and record.answer is not None
        # A killed node may not have recorded the outcome; its claim still shows which
        # node ran the request.
        traced = {
            record.request_id
            for record in self.records()
            if record.state is ClaimState.DONE or record.node in self.killed
        }
        for result in self.results:
            if result.answer is not None and result.request_id in self.upstream.ran_requests:
                assert result.request_id in traced, "an order cannot be traced"

    def records(self):
        """Read all claims of both kinds of store."""

        async def read():
            found = []
            for number in range(256):
                async for row in scan(self.table, f"claim/{number:02x}"):
                    if "/" not in row.key.sort:
                        found.append(ClaimRecord.decode(row.value))
            for shard in range(2):
                state = await read_shard(self.table, self.objects, shard)
                found += [entry.record for entry in state.entry_by_id.values()]
            return found

        return self.do(read())

    def loses_next_message(self) -> bool:
        return self.lost_messages.pop(0) if self.lost_messages else False

    def close(self):
        async def cancel_all():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.do(cancel_all())
        self.loop.close()
