"""Encoding and authentication of datagrams between nodes.

A datagram consists of a 16-byte keyed BLAKE2b MAC, the start number of the sending process, a
sequence number, and a packed Cap'n Proto message. The MAC also covers the receiver's address, so
that a datagram captured on the way to one node is rejected by every other.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Callable, Sequence
from importlib import resources
from ipaddress import ip_address
from typing import Any

import capnp

from peridottrack.evacuation import EvacuationSet
from peridottrack.exceptions import DatagramRejected
from peridottrack.jsondata import MAX_INT64
from peridottrack.messages import (
    Ack,
    Body,
    BucketDigests,
    CrashReport,
    LeavingReport,
    LoadEntry,
    LoadReply,
    LoadReport,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Pull,
    QuotaAsk,
    QuotaAskEntry,
    QuotaGrant,
    QuotaGrantEntry,
    Rumor,
    SlownessReport,
)
from peridottrack.types import (
    Endpoint,
    FailureDomain,
    Incarnation,
    Instance,
    InstanceId,
    InstanceState,
    NodeId,
    Region,
    ServiceName,
)

capnp.remove_import_hook()
with resources.as_file(resources.files("peridottrack") / "messages.capnp") as _path:
    schema = capnp.load(str(_path))

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams are neither sent nor accepted."""
MAC_BYTES = 16
SEQUENCE_HEADER = struct.Struct(">QQ")
REPLAY_WINDOW = 1_024
"""Latest sequence numbers of a sender that are checked for replays; older ones are rejected."""
TRAVERSAL_LIMIT_WORDS = 1 << 14
"""Words that decoding a message may visit, against crafted messages that expand."""
HEADER_BYTES = 28
"""Bytes of the IPv4 and UDP headers of a datagram."""

INSTANCE_STATES = tuple(InstanceState)
INDEX_BY_INSTANCE_STATE = {state: index for index, state in enumerate(INSTANCE_STATES)}


def encode(message: Message) -> bytes:
    """Return the encoding of a message, not signed."""
    datagram = schema.Datagram.new_message()
    _write_address(datagram.sender, message.sender)
    datagram.documentVersion = message.document_version
    datagram.digest = message.digest
    datagram.confirmedMs = message.document_confirmed_ms
    if message.evacuations is not None:
        datagram.evacuationEra = message.evacuations.era
        datagram.evacuationPosition = message.evacuations.position
        datagram.evacuated = sorted(message.evacuations.domains)
    if message.updates:
        target = datagram.init("updates", len(message.updates))
        for index, update in enumerate(message.updates):
            _write_update(target[index], update)
    _WRITE_BY_TYPE[type(message.body)](datagram, message.body)
    return datagram.to_bytes_packed()


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    DatagramRejected
        If the bytes are not a message.
    """
    try:
        datagram = schema.Datagram.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return Message(
            _read_address(datagram.sender),
            _READ_BY_NAME[str(datagram.which())](datagram),
            datagram.documentVersion,
            datagram.digest,
            tuple(_read_update(update) for update in datagram.updates),
            datagram.confirmedMs,
            _read_evacuations(datagram),
        )
    except (capnp.KjException, ValueError, KeyError, IndexError) as error:
        raise DatagramRejected("undecodable") from error


def _read_evacuations(datagram: Any) -> EvacuationSet | None:
    if not datagram.evacuationPosition:
        return None
    domains = frozenset(FailureDomain(domain) for domain in datagram.evacuated)
    return EvacuationSet(datagram.evacuationEra, datagram.evacuationPosition, domains)


MAX_INCARNATION = MAX_INT64
"""Highest incarnation that is accepted, so that the node that is meant can exceed it."""


class DatagramSigner:
    """Signs the datagrams of one node and verifies those of others.

    Parameters
    ----------
    keys
        The first one signs; any of them verifies, so that keys can be rotated one at a time.
    start
        Number of this start of the process, which must increase with each restart: a higher one
        resets the replay windows of the receivers, a lower one is rejected.
    """

    def __init__(self, keys: Sequence[str], node: NodeId, start: int) -> None:
        self._keys = [hashlib.blake2b(key.encode(), digest_size=32).digest() for key in keys]
        self._node = node
        self._start = start
        self._sequence = 0
        self._replay_window_by_sender: dict[NodeId, _ReplayWindow] = {}

    def sign(self, receiver: NodeId, message: Message) -> bytes:
        """Return the signed datagram of a message."""
        self._sequence += 1
        payload = SEQUENCE_HEADER.pack(self._start, self._sequence) + encode(message)
        return _mac(self._keys[0], receiver, payload) + payload

    def verify(self, data: bytes) -> Message:
        """Verify and decode a datagram.

        Raises
        ------
        DatagramRejected
            With the reason: ``size``, ``key``, ``undecodable`` or ``replay``.
        """
        if not MAC_BYTES + SEQUENCE_HEADER.size < len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRejected("size")
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(key, self._node, payload)) for key in self._keys):
            raise DatagramRejected("key")
        start, sequence = SEQUENCE_HEADER.unpack_from(payload)
        message = decode(payload[SEQUENCE_HEADER.size :])
        replay_window = self._replay_window_by_sender.setdefault(message.sender, _ReplayWindow())
        if not replay_window.accept(start, sequence):
            raise DatagramRejected("replay")
        return message


class _ReplayWindow:
    """Sequence numbers received from one sender, as a sliding window of bits."""

    __slots__ = ("start", "highest", "bits")

    def __init__(self) -> None:
        self.start = 0
        self.highest = 0
        self.bits = 0

    def accept(self, start: int, sequence: int) -> bool:
        """Record a sequence number; return whether it is new."""
        if start < self.start:
            return False
        if start > self.start:
            self.start, self.highest, self.bits = start, 0, 0
        if sequence > self.highest:
            shift = sequence - self.highest
            self.bits = ((self.bits << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << (self.highest - sequence)
        if self.highest - sequence >= REPLAY_WINDOW or self.bits & bit:
            return False
        self.bits |= bit
        return True


def _mac(key: bytes, receiver: NodeId, payload: bytes) -> bytes:
    digest = hashlib.blake2b(receiver.encode(), key=key, digest_size=MAC_BYTES)
    digest.update(payload)
    return digest.digest()


def _write_address(target: Any, node: NodeId) -> None:
    host, _, port = node.rpartition(":")
    target.ip = ip_address(host).packed
    target.port = int(port)


def _read_address(source: Any) -> NodeId:
    return NodeId(f"{ip_address(bytes(source.ip))}:{source.port}")


def _write_update(target: Any, update: MemberUpdate) -> None:
    _write_address(target.node, update.node)
    target.incarnation = update.incarnation
    target.state = update.state.value
    target.adminPort = update.admin.port
    target.domain = update.domain
    target.region = update.region
    target.service = update.service
    instances = target.init("instances", len(update.instances))
    for index, instance in enumerate(update.instances):
        _write_instance(instances[index], instance)


def _read_update(source: Any) -> MemberUpdate:
    node = _read_address(source.node)
    if source.incarnation > MAX_INCARNATION:
        raise ValueError(f"incarnation {source.incarnation} cannot be exceeded")
    domain = FailureDomain(source.domain)
    return MemberUpdate(
        node,
        source.incarnation,
        MemberState(source.state),
        # All addresses of a node share one IP address; only the ports differ.
        Endpoint(node.rpartition(":")[0], source.adminPort),
        domain,
        Region(source.region),
        tuple(_read_instance(instance, domain) for instance in source.instances),
        ServiceName(source.service),
    )


def _write_instance(target: Any, instance: Instance) -> None:
    target.id = instance.instance_id
    target.service = instance.service
    target.ip = ip_address(instance.endpoint.host).packed
    target.port = instance.endpoint.port
    target.slots = instance.slots
    target.connections = instance.connections
    target.state = INDEX_BY_INSTANCE_STATE[instance.state]


def _read_instance(source: Any, domain: FailureDomain) -> Instance:
    return Instance(
        InstanceId(source.id),
        ServiceName(source.service),
        Endpoint(str(ip_address(bytes(source.ip))), source.port),
        source.slots,
        source.connections,
        domain,
        INSTANCE_STATES[source.state],
    )


def _write_rumor(datagram: Any, body: Body) -> None:
    datagram.rumor = None


def _write_ping(datagram: Any, body: Ping) -> None:
    datagram.ping = body.number


def _write_ack(datagram: Any, body: Ack) -> None:
    datagram.ack = body.number


def _write_ping_request(datagram: Any, body: PingRequest) -> None:
    group = datagram.init("pingRequest")
    group.number = body.number
    _write_address(group.init("target"), body.target)


def _write_buckets(datagram: Any, body: BucketDigests) -> None:
    datagram.buckets = list(body.digests)


def _write_pull(datagram: Any, body: Pull) -> None:
    datagram.pull = list(body.buckets)


def _load_writer(name: str) -> Callable[[Any, Any], None]:
    def write(datagram: Any, body: LoadReport | LoadReply) -> None:
        entries = datagram.init(name, len(body.entries))
        for index, entry in enumerate(body.entries):
            entries[index].instance = entry.instance
            entries[index].inFlight = entry.in_flight
            entries[index].senders = entry.sender_count

    return write


def _write_slowness_report(datagram: Any, body: SlownessReport) -> None:
    group = datagram.init("slow")
    group.instance = body.instance
    group.factorPercent = round(body.factor * 100)
    group.validMs = body.valid_ms
    group.number = body.number


def _write_crash_report(datagram: Any, body: CrashReport) -> None:
    group = datagram.init("crash")
    group.fingerprint = body.fingerprint
    group.instance = body.crashed


def _write_quota_ask(datagram: Any, body: QuotaAsk) -> None:
    group = datagram.init("quotaAsk")
    group.number = body.number
    group.stamp = body.stamp
    group.slots = body.slots
    group.lent = body.lent
    group.credited = body.credited
    group.loanMs = body.loan_ms
    entries = group.init("entries", len(body.entries))
    for index, entry in enumerate(body.entries):
        target = entries[index]
        target.account = entry.account
        target.need = entry.need
        target.want = entry.want
        target.refused = entry.refused


def _read_quota_ask(datagram: Any) -> QuotaAsk:
    group = datagram.quotaAsk
    entries = tuple(
        QuotaAskEntry(entry.account, entry.need, entry.want, entry.refused)
        for entry in group.entries
    )
    return QuotaAsk(
        group.number,
        group.stamp,
        group.slots,
        group.lent,
        group.credited,
        group.loanMs,
        entries,
    )


def _write_quota_grant(datagram: Any, body: QuotaGrant) -> None:
    group = datagram.init("quotaGrant")
    group.number = body.number
    group.stamp = body.stamp
    group.released = body.released
    entries = group.init("entries", len(body.entries))
    for index, entry in enumerate(body.entries):
        target = entries[index]
        target.account = entry.account
        target.tokens = entry.tokens
        target.retryMs = entry.retry_ms
        target.holdMs = entry.hold_ms
        target.unsettled = entry.unsettled


def _read_quota_grant(datagram: Any) -> QuotaGrant:
    group = datagram.quotaGrant
    entries = tuple(
        QuotaGrantEntry(entry.account, entry.tokens, entry.retryMs, entry.holdMs, entry.unsettled)
        for entry in group.entries
    )
    return QuotaGrant(group.number, group.stamp, group.released, entries)


def _read_entries(entries: Any) -> tuple[LoadEntry, ...]:
    return tuple(
        LoadEntry(InstanceId(entry.instance), entry.inFlight, entry.senders) for entry in entries
    )


def _read_slowness_report(datagram: Any) -> SlownessReport:
    group = datagram.slow
    return SlownessReport(
        InstanceId(group.instance), group.factorPercent / 100, group.validMs, group.number
    )


_WRITE_BY_TYPE: dict[type, Callable[[Any, Any], None]] = {
    Rumor: _write_rumor,
    Ping: _write_ping,
    Ack: _write_ack,
    PingRequest: _write_ping_request,
    BucketDigests: _write_buckets,
    Pull: _write_pull,
    LoadReport: _load_writer("loadReport"),
    LoadReply: _load_writer("loadReply"),
    SlownessReport: _write_slowness_report,
    CrashReport: _write_crash_report,
    LeavingReport: lambda datagram, body: setattr(datagram, "leaving", body.instance),
    QuotaAsk: _write_quota_ask,
    QuotaGrant: _write_quota_grant,
}

_READ_BY_NAME: dict[str, Callable[[Any], Body]] = {
    "rumor": lambda datagram: Rumor(),
    "ping": lambda datagram: Ping(datagram.ping),
    "ack": lambda datagram: Ack(datagram.ack),
    "pingRequest": lambda datagram: PingRequest(
        datagram.pingRequest.number, _read_address(datagram.pingRequest.target)
    ),
    "buckets": lambda datagram: BucketDigests(tuple(datagram.buckets)),
    "pull": lambda datagram: Pull(tuple(datagram.pull)),
    "loadReport": lambda datagram: LoadReport(_read_entries(datagram.loadReport)),
    "loadReply": lambda datagram: LoadReply(_read_entries(datagram.loadReply)),
    "slow": _read_slowness_report,
    "crash": lambda datagram: CrashReport(
        datagram.crash.fingerprint, Incarnation(datagram.crash.instance)
    ),
    "leaving": lambda datagram: LeavingReport(InstanceId(datagram.leaving)),
    "quotaAsk": _read_quota_ask,
    "quotaGrant": _read_quota_grant,
}
