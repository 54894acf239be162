"""Runs the membership protocol over UDP and publishes the instances that nodes announce."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from reactivex.subject import BehaviorSubject

from peridottrack import log
from peridottrack.config import parse_endpoint
from peridottrack.datagrams import DatagramTransport
from peridottrack.distance import Distances
from peridottrack.evacuation import EvacuationSet
from peridottrack.exceptions import StoreUnavailable
from peridottrack.jsondata import (
    MAX_UINT16,
    decode_json,
    require_integer,
    require_list,
    require_object,
    require_text,
)
from peridottrack.membership import TICK_S, Membership
from peridottrack.messages import (
    Ack,
    BucketDigests,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Pull,
    Rumor,
)
from peridottrack.metrics import Metrics
from peridottrack.store import new_writer_id, put_settled, scan
from peridottrack.types import (
    ABSENT_VERSION,
    Clock,
    Endpoint,
    FailureDomain,
    Instance,
    InstanceId,
    InstanceState,
    NodeId,
    Random,
    Region,
    RowKey,
    ServiceName,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
)

PARTITION = "member"
STATE_BY_NAME = {state.name.lower(): state for state in MemberState}
MAX_ENTRY_INCARNATION = 1 << 53
"""Highest incarnation of an entry: far above the time of day in milliseconds, and far below what a
datagram holds, so that the node that is meant can always exceed it."""
MAX_ENTRY_INSTANCES = 64
"""Most instances of an entry that are read: a datagram must hold them."""
JOIN_RETRY_S = 1.0
MEMBERSHIP_BODIES = (Rumor, Ping, Ack, PingRequest, BucketDigests, Pull)
OnNewerVersion = Callable[[NodeId, int], None]
"""Called with a node and the version of its document if that is newer than the local one."""


@dataclass(frozen=True, slots=True)
class ClusterView:
    """All instances announced by active nodes, and the number of these nodes."""

    instances: tuple[Instance, ...] = ()
    node_count: int = 1


class Directory(Protocol):
    """Directory in the platform's store with one entry per node, read by nodes that join."""

    async def read(self) -> list[MemberUpdate]:
        """Return all entries.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        ...

    async def write(self, member: MemberUpdate) -> bool:
        """Write the node's own entry; return whether the store accepted it."""
        ...

    async def remove(self, node: NodeId) -> None:
        """Remove an entry if the store is available."""
        ...


class SharedDirectory(Directory, Protocol):
    """A `Directory` in which a node may also write the entries of others."""

    @property
    def era(self) -> int:
        """The store's era when it last answered, 0 if unknown."""
        ...

    async def write_all(self, members: Sequence[MemberUpdate]) -> bool:
        """Write the entries of several nodes; return whether the store accepted all of them."""
        ...


class TableDirectory:
    """`Directory` with one row of a `TableStore` per node."""

    def __init__(self, table: TableStore) -> None:
        self._table = table
        self._row_version = ABSENT_VERSION

    async def read(self) -> list[MemberUpdate]:
        """Return all entries."""
        return await read_members(self._table)

    async def write(self, member: MemberUpdate) -> bool:
        """Write the node's own entry."""
        key = RowKey(PARTITION, member.node)
        try:
            row = await self._table.get(key)
        except StoreUnavailable:
            return False
        expected = row.version if row else ABSENT_VERSION
        value = json.dumps(update_to_data(member)).encode()
        settled = await put_settled(self._table, key, expected, value, new_writer_id())
        self._row_version = expected + 1
        return settled.outcome is WriteOutcome.APPLIED

    async def remove(self, node: NodeId) -> None:
        """Remove an entry."""
        delete = Write(WriteAction.DELETE, RowKey(PARTITION, node), self._row_version)
        await self._table.transact([delete], new_writer_id())


class MembersController:
    """Runs the membership protocol and publishes its view of the cluster.

    Attributes
    ----------
    cluster_views
        Stream of `ClusterView`, a new one after each change.
    on_confirmed
        Called with the time of the store's clock, in seconds, at which another node knew that the
        store had no newer document than this node has.
    on_evacuations
        Called with the evacuated failure domains as another node knows them, and with that node.
    """

    def __init__(
        self,
        local_member: MemberUpdate,
        directory: Directory,
        datagrams: DatagramTransport,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        on_newer_version: OnNewerVersion = lambda node, version: None,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_newer_version = on_newer_version
        self.on_confirmed: Callable[[float], None] = lambda store_time_s: None
        self.on_evacuations: Callable[[EvacuationSet, NodeId], None] = lambda heard, node: None
        self._publish_scheduled = False
        self._owner_by_shard: dict[int, NodeId] = {}
        self.distances = Distances(local_member.domain)
        self._node_by_instance: dict[InstanceId, NodeId] = {}
        self.cluster_views: BehaviorSubject[ClusterView] = BehaviorSubject(ClusterView())
        self.membership = Membership(
            local_member, rng, datagrams.send, self._member_changed, self._record_round_trip
        )
        datagrams.handle(MEMBERSHIP_BODIES, self._receive)

    async def join(self, seeds: Iterable[NodeId]) -> None:
        """Join through the directory or, if that is unavailable, through seed nodes."""
        self.membership.contact_seeds(seeds, self._clock.now())
        while not await self._join_directory():
            if len(self.membership.active_members()) > 1:
                log.warning("joined through seeds, the table is not available")
                return
            await asyncio.sleep(JOIN_RETRY_S)
            self.membership.contact_seeds(seeds, self._clock.now())

    async def join_once(self) -> bool:
        """Write this node's entry, then read all entries; False if either failed.

        A node writes its entry before it reads, so that of any two nodes that start at the same
        time at least one sees the other.
        """
        if not await self.register():
            return False
        try:
            updates = await self._directory.read()
        except StoreUnavailable as error:
            log.warning("the store does not tell of other nodes", error=str(error))
            return False
        self.membership.join(updates, self._clock.now())
        self.membership.discard_queued_updates()
        return True

    async def register(self) -> bool:
        """Write this node's entry, so that others can join through the directory."""
        return await self._directory.write(self.membership.local_member)

    async def restore_entries(self, directory: SharedDirectory) -> bool:
        """Write the entries that the directory lacks; return whether the store accepted them.

        A store restored from an older copy has lost those of nodes that started since.
        """
        try:
            updates = await directory.read()
        except StoreUnavailable as error:
            log.warning("the store does not tell of other nodes", error=str(error))
            return False
        # Newer incarnations of nodes that are found under the same address spread by gossip.
        admin_by_node = {update.node: update.admin for update in updates}
        missing = [
            update
            for update in self.membership.active_members()
            if admin_by_node.get(update.node) != update.admin
        ]
        log.event("entries restored", found=len(updates), written=len(missing))
        return await directory.write_all(missing)

    async def leave(self) -> None:
        """Announce that this node leaves and remove its entry from the directory."""
        self.membership.leave(self._clock.now())
        await self._directory.remove(self.membership.local_member.node)

    async def run(self) -> None:
        """Call `Membership.tick` periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.membership.tick(self._clock.now())

    def set_instances(self, instances: Iterable[Instance]) -> None:
        """Announce the local instances."""
        local_member = replace(self.membership.local_member, instances=tuple(instances))
        self.membership.set_local_member(local_member, self._clock.now())

    def set_document_version(self, version: int) -> None:
        """Announce the version of the document in force on this node."""
        self.membership.set_document_version(version, self._clock.now())

    def set_document_confirmed(self, store_time_s: float, tell: bool) -> None:
        """Announce until when, by the store's clock, the document is known to be the newest.

        Parameters
        ----------
        tell
            Whether to tell some nodes at once instead of with the next messages.
        """
        self.membership.set_document_confirmed(int(store_time_s * 1000), self._clock.now())
        if tell:
            self.membership.tell_document_confirmed()

    def set_evacuations(self, evacuations: EvacuationSet, changed: bool) -> None:
        """Announce the evacuated failure domains, at once if they have changed."""
        self.membership.set_evacuations(evacuations, changed, self._clock.now())

    def node_of(self, instance: InstanceId) -> NodeId | None:
        """Return the node that announces an instance."""
        return self._node_by_instance.get(instance)

    def owner_of(self, shard: int) -> NodeId:
        """Return the node that should own a claim shard, chosen by rendezvous hashing."""
        owner = self._owner_by_shard.get(shard)
        if owner is None:
            nodes = [update.node for update in self.membership.active_members()]
            owner = max(nodes, key=lambda node: _shard_weight(shard, node))
            self._owner_by_shard[shard] = owner
        return owner

    def admin_of(self, node: NodeId) -> Endpoint | None:
        """Return a node's admin address."""
        member = self.membership.member_by_node.get(node)
        return member.update.admin if member else None

    def now(self) -> float:
        """Return the time by which members are dated."""
        return self._clock.now()

    def peers(self) -> list[MemberUpdate]:
        """Return the other active nodes."""
        local_node = self.membership.local_member.node
        return [update for update in self.membership.active_members() if update.node != local_node]

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "me": self.membership.local_member.node,
            "distance_s": self.distances.dump(),
            "digest": f"{self.membership.digest():016x}",
            "members": {
                node: {**update_to_data(member.update), "since_s": round(member.applied_at, 3)}
                for node, member in self.membership.member_by_node.items()
            },
        }

    async def _join_directory(self) -> bool:
        return await self.join_once()

    def _receive(self, message: Message) -> None:
        self.membership.receive(message, self._clock.now())
        if message.evacuations is not None:
            # First: a confirmation covers them too.
            self.on_evacuations(message.evacuations, message.sender)
        if message.document_version > self.membership.document_version:
            self._on_newer_version(message.sender, message.document_version)
        elif message.document_confirmed_ms:
            self.on_confirmed(message.document_confirmed_ms / 1000)

    def _record_round_trip(self, update: MemberUpdate, round_trip_s: float) -> None:
        self.distances.record(update.domain, round_trip_s)

    def _member_changed(self, update: MemberUpdate) -> None:
        log.debug(
            "member",
            "member changed",
            member=update.node,
            state=update.state.name,
            incarnation=update.incarnation,
        )
        if not self._publish_scheduled:
            # One datagram may carry many changes; subscribers get a single new view.
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._publish_scheduled = False
        self._owner_by_shard.clear()
        active = self.membership.active_members()
        self._node_by_instance = {
            instance.instance_id: update.node for update in active for instance in update.instances
        }
        for state in MemberState:
            count = sum(
                member.update.state is state for member in self.membership.member_by_node.values()
            )
            self._metrics.members.labels(state.name.lower()).set(count)
        instances = tuple(instance for update in active for instance in update.instances)
        self.cluster_views.on_next(ClusterView(instances, len(active)))


async def read_members(table: TableStore) -> list[MemberUpdate]:
    """Read the entries of all nodes except those that cannot be decoded."""
    updates = []
    async for row in scan(table, PARTITION):
        try:
            updates.append(update_from_entry(row.value))
        except ValueError as error:
            log.warning("entry of a node cannot be read", key=row.key.sort, error=str(error)[:200])
    return updates


def _shard_weight(shard: int, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{shard} {node}".encode(), digest_size=8).digest()


def update_to_data(update: MemberUpdate) -> dict[str, Any]:
    """Return the JSON object stored for a member."""
    return {
        "node": update.node,
        "incarnation": update.incarnation,
        "state": update.state.name.lower(),
        "admin": str(update.admin),
        "domain": update.domain,
        "region": update.region,
        "service": update.service,
        "instances": [
            {
                "id": instance.instance_id,
                "service": instance.service,
                "address": str(instance.endpoint),
                "slots": instance.slots,
                "connections": instance.connections,
                "state": instance.state.value,
            }
            for instance in update.instances
        ],
    }


def update_from_entry(value: bytes) -> MemberUpdate:
    """Decode a member's entry in the directory.

    Raises
    ------
    ValueError
        If the entry names no node to use.
    """
    data = require_object(decode_json(value), "entry")
    domain = FailureDomain(require_text(data.get("domain"), "domain"))
    instances = require_list(data.get("instances"), "instances")
    state = require_text(data.get("state"), "state")
    if state not in STATE_BY_NAME:
        raise ValueError(f"state {state!r} is not known")
    return MemberUpdate(
        NodeId(str(_endpoint(data.get("node"), "node"))),
        require_integer(data.get("incarnation"), "incarnation", 0, MAX_ENTRY_INCARNATION),
        STATE_BY_NAME[state],
        _endpoint(data.get("admin"), "admin"),
        domain,
        Region(require_text(data.get("region"), "region")),
        tuple(_instance_from_data(item, domain) for item in instances[:MAX_ENTRY_INSTANCES]),
        # Entries of nodes without a gate, and of an earlier release, name none.
        service=ServiceName(require_text(data.get("service", ""), "service")),
    )


def _instance_from_data(item: Any, domain: FailureDomain) -> Instance:
    data = require_object(item, "instance")
    return Instance(
        InstanceId(require_text(data.get("id"), "id")),
        ServiceName(require_text(data.get("service"), "service")),
        _endpoint(data.get("address"), "address"),
        require_integer(data.get("slots"), "slots", 0, MAX_UINT16),
        require_integer(data.get("connections"), "connections", 0, MAX_UINT16),
        domain,
        InstanceState(require_text(data.get("state"), "state")),
    )


def _endpoint(value: Any, name: str) -> Endpoint:
    endpoint = parse_endpoint(require_text(value, name))
    if not endpoint.port:
        raise ValueError(f"{name} has no port")
    return endpoint
