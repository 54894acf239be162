"""Connections between nodes: many requests on one, watched for silence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from peridottrack import log
from peridottrack.exceptions import LinkLost
from peridottrack.framecodec import encode
from peridottrack.frameconnection import FrameConnection
from peridottrack.frames import (
    Cancel,
    DocumentFrame,
    ForwardedRequest,
    Frame,
    GateLoad,
    HedgeHint,
    Hello,
    InstanceResponse,
    LinkPing,
    Refusal,
)
from peridottrack.gateroute import OnHedgeHint, Outcome
from peridottrack.types import Clock, Endpoint, FailureDomain

TICK_S = 0.1
"""How often links look at the time."""
STOOD_STILL_S = 5 * TICK_S
"""Time between two looks from which this process itself is taken to have stood still."""
PING_IDLE_S = 1.0
"""Silence after which an idle link is asked for a sign of life."""
PING_BUSY_S = 0.2
"""The same while an answer is waited for."""
SUSPECT_S = 0.45
"""Silence after a ping from which the other side gets no new requests."""
LOST_S = 2.0
"""Silence from which the connection is given up: well above a slow host's longest pause."""
CONNECT_FIRST_S = 0.25
CONNECT_TIMEOUT_S = 1.0
"""Bounds of the time that a host has to accept: the first tries are short, since hosts that come
back together are not there for each other's first packet, and the next one is seconds away."""
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
"""Bounds of the pause between two attempts to connect; it doubles."""
MAX_UNSENT_BYTES = 4 << 20
"""Unsent bytes above which a link takes no more requests."""


@dataclass(frozen=True, slots=True)
class LinkHooks:
    """What a link tells the rest of the node.

    Parameters
    ----------
    document
        Returns the document in force, None if there is none.
    on_document
        Called with a document that the other side sent.
    """

    document: Callable[[], DocumentFrame | None]
    on_document: Callable[[DocumentFrame], None]


def _nothing() -> None:
    """Take the place of a callback of a request that is over."""


class Link:
    """The connection to one other node's gate; connects again by itself."""

    def __init__(
        self,
        endpoint: Endpoint,
        domain: FailureDomain,
        me: Callable[[], Hello],
        hooks: LinkHooks,
        clock: Clock,
    ) -> None:
        self._endpoint = endpoint
        self.domain = domain
        self._hello = me
        self.hooks = hooks
        self._clock = clock
        self._connection: _LinkConnection | None = None
        self._waiter_by_number: dict[int, asyncio.Future[Outcome]] = {}
        self._sent_at_by_number: dict[int, float] = {}
        self._hurry_by_number: dict[int, OnHedgeHint] = {}
        self.load: GateLoad | None = None
        self.received_at = float("-inf")
        self._pinged_at = float("-inf")
        self._ticked_at = float("-inf")
        self._pings = 0
        self._wake = asyncio.Event()
        self._gone = asyncio.Event()

    @property
    def peer(self) -> str:
        """The other side's address."""
        return str(self._endpoint)

    def _me(self) -> Hello:
        """Return the hello; bytes to another failure domain are worth compressing."""
        hello = self._hello()
        return replace(hello, compressed=hello.domain != self.domain)

    @property
    def usable(self) -> bool:
        """Whether the other side is there and answers."""
        connection = self._connection
        return (
            connection is not None
            and self.load is not None
            and not self._suspect(self._clock.now())
            and connection.unsent_bytes() < MAX_UNSENT_BYTES
        )

    def _suspect(self, now: float) -> bool:
        return self._pinged_at > self.received_at and now - self._pinged_at > SUSPECT_S

    def sent_since_report(self) -> int:
        """Return the number of requests sent after the load figures came."""
        return sum(sent_at > self.received_at for sent_at in self._sent_at_by_number.values())

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        pause_s, timeout_s = RECONNECT_MIN_S, CONNECT_FIRST_S
        try:
            while True:
                connection = await self._connect(timeout_s)
                if connection is None:
                    timeout_s = min(CONNECT_TIMEOUT_S, timeout_s * 2)
                    self._wake.clear()
                    try:
                        async with asyncio.timeout(pause_s):
                            await self._wake.wait()
                    except TimeoutError:
                        pause_s = min(RECONNECT_MAX_S, pause_s * 2)
                    continue
                pause_s, timeout_s = RECONNECT_MIN_S, CONNECT_FIRST_S
                await self._gone.wait()
                await asyncio.sleep(RECONNECT_MIN_S)
        finally:
            if self._connection is not None:
                self._connection.close()

    def wake(self) -> None:
        """Try to connect now, since the other side was heard of."""
        self._wake.set()

    async def _connect(self, timeout_s: float) -> _LinkConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _LinkConnection(self), self._endpoint.host, self._endpoint.port
                )
        except (OSError, TimeoutError) as error:
            log.debug("link", "not connected", peer=str(self._endpoint), error=repr(error))
            return None
        self._connection = connection
        self._gone.clear()
        self.received_at = self._ticked_at = self._clock.now()
        connection.greet(self._me())
        log.event("link up", peer=str(self._endpoint))
        return connection

    def tick(self, now: float) -> None:
        """Look how long the other side has been silent; to be called every `TICK_S` seconds."""
        connection = self._connection
        if connection is None:
            return
        if now - self._ticked_at > STOOD_STILL_S:
            # This process stood still: what is heard next tells more than the silence.
            connection.greet(self._me())
            self.received_at = max(self.received_at, now - PING_IDLE_S)
        self._ticked_at = now
        silent_s = now - self.received_at
        if silent_s > LOST_S:
            log.event("link silent", peer=str(self._endpoint), silent_s=round(silent_s, 2))
            connection.abort()
            self.lost(connection, "silent")
        elif silent_s > (PING_BUSY_S if self._waiter_by_number else PING_IDLE_S):
            self._ping(connection, now)
        if self._suspect(now):
            # What waits for a host that fell silent is better sent elsewhere.
            for hurry in list(self._hurry_by_number.values()):
                hurry()

    def _ping(self, connection: _LinkConnection, now: float) -> None:
        if self._pinged_at > self.received_at and now - self._pinged_at < PING_IDLE_S:
            return
        if self._pinged_at <= self.received_at:
            self._pinged_at = now
        self._pings += 1
        connection.write(encode(LinkPing(self._pings)))

    # -- what the connection reports ---------------------------------------------------

    def handle_frame(self, frame: Frame) -> None:
        """Take in a frame."""
        self.received_at = self._clock.now()
        if isinstance(frame, GateLoad):
            self.load = frame
        elif isinstance(frame, InstanceResponse | Refusal):
            self.load = frame.load
            waiter = self._forget(frame.number)
            if waiter is not None and not waiter.done():
                waiter.set_result(frame)
        elif isinstance(frame, HedgeHint):
            self._hurry_by_number.get(frame.number, _nothing)()
        elif isinstance(frame, DocumentFrame):
            self.hooks.on_document(frame)

    def _forget(self, number: int) -> asyncio.Future[Outcome] | None:
        self._sent_at_by_number.pop(number, None)
        self._hurry_by_number.pop(number, None)
        return self._waiter_by_number.pop(number, None)

    def lost(self, connection: _LinkConnection, reason: str) -> None:
        """Fail all that waits for an answer."""
        if self._connection is not connection:
            return
        self._connection = None
        self._gone.set()
        self.load = None
        log.event(
            "link lost",
            peer=str(self._endpoint),
            reason=reason,
            waiting=len(self._waiter_by_number),
        )
        for waiter in self._waiter_by_number.values():
            if not waiter.done():
                waiter.set_exception(LinkLost(f"{self._endpoint}: {reason}"))
        self._waiter_by_number.clear()
        self._sent_at_by_number.clear()
        self._hurry_by_number.clear()

    # -- requests ----------------------------------------------------------------------

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Send a request and wait for its outcome."""
        connection = self._connection
        if connection is None:
            raise LinkLost(f"{self._endpoint}: not connected", sent=False)
        waiter: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[request.number] = waiter
        self._sent_at_by_number[request.number] = self._clock.now()
        self._hurry_by_number[request.number] = on_hedge_hint
        connection.write(encode(request))
        try:
            return await waiter
        except asyncio.CancelledError:
            if self._forget(request.number) is not None:
                connection.write(encode(Cancel(request.number)))
            raise

    def send(self, frame: Frame) -> bool:
        """Send a frame that needs no answer; False if there is no connection."""
        if self._connection is None:
            return False
        self._connection.write(encode(frame))
        return True


class _LinkConnection(FrameConnection):
    """The connecting side's transport."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link

    @property
    def peer(self) -> str:
        """The node that this one connected to."""
        return self._link.peer

    def frame_received(self, frame: Frame) -> None:
        """Hand a frame on."""
        self._link.handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the link."""
        super().connection_lost(exc)
        self._link.lost(self, str(exc or "closed by the other side"))

    def greet(self, me: Hello) -> None:
        """Say who this is; what follows is compressed if it says so."""
        self.write(encode(me))
        if me.compressed:
            self.compress()
