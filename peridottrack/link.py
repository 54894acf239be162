"""The connecting side of links: multiplexes requests to a node, detects an unresponsive one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from peridottrack import log
from peridottrack.bytebudget import ByteBudget
from peridottrack.clock import LoopClock
from peridottrack.evacuation import EvacuationSet
from peridottrack.exceptions import LinkLost
from peridottrack.framecodec import encode
from peridottrack.frameconnection import FrameConnection
from peridottrack.frames import (
    BodyPart,
    Cancel,
    DocumentFrame,
    ForwardedRequest,
    Frame,
    GateLoad,
    HedgeHint,
    Hello,
    InstanceResponse,
    LeftInstance,
    LinkPing,
    Refusal,
)
from peridottrack.gateroute import OnHedgeHint, Outcome
from peridottrack.linkbodies import MIN_SPLIT_BYTES, CollectedBody, IncomingAnswer
from peridottrack.types import Clock, Endpoint, FailureDomain

TICK_S = 0.1
"""Interval at which the node's `LinksController` calls `Link.tick`."""
PROCESS_PAUSE_S = 5 * TICK_S
"""Time between two ticks from which this process itself is assumed to have been paused."""
PING_IDLE_S = 1.0
"""Time without a received frame after which a link without requests in flight sends a ping."""
PING_BUSY_S = 0.2
"""The same while requests are in flight."""
SUSPECT_AFTER_S = 0.45
"""Time since an unanswered ping from which the peer gets no new requests."""
LOST_AFTER_S = 2.0
"""Time without a received frame after which the connection is dropped: well above the longest pause
of a slow host."""
CONNECT_TIMEOUT_MIN_S = 0.25
CONNECT_TIMEOUT_MAX_S = 1.0
"""Shortest and longest connect timeout; it doubles. The first ones are short, since hosts that
restart together miss each other's first SYN, and TCP sends the next one only seconds later."""
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
"""Bounds of the delay between two connection attempts; it doubles."""
MAX_BUFFERED_BYTES = 4 << 20
"""Buffered bytes from which a link is not usable for more requests."""


@dataclass(frozen=True, slots=True)
class LinkHooks:
    """How links read and update the document of their node.

    Parameters
    ----------
    document
        Returns the current document, None if there is none.
    on_document
        Called with each document that a peer sends, and with the peer.
    on_left_instance
        Called with the local instance of which a peer knows that it leaves.
    evacuations
        Returns the evacuated failure domains that peers are to know, None for nothing.
    on_evacuations
        Called with the evacuated failure domains as a peer knows them, and with the peer.
    budget
        Counts the bytes of answers that are arriving; without one they are not counted.
    """

    document: Callable[[], DocumentFrame | None]
    on_document: Callable[[DocumentFrame, str], None]
    on_left_instance: Callable[[LeftInstance], None] = lambda left: None
    evacuations: Callable[[], EvacuationSet | None] = lambda: None
    on_evacuations: Callable[[EvacuationSet, str], None] = lambda heard, peer: None
    budget: ByteBudget = field(default_factory=lambda: ByteBudget(float("inf"), LoopClock()))


def _ignore() -> None:
    """Stand in for a callback that is not set, or whose request has ended."""


class Link:
    """The connection to one other node's gate; reconnects by itself.

    Attributes
    ----------
    on_first_load
        Called when the first load report after a connection was received.
    left_instance
        The peer's instance if it leaves; kept while the peer restarts.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        domain: FailureDomain,
        make_hello: Callable[[], Hello],
        hooks: LinkHooks,
        clock: Clock,
    ) -> None:
        self._endpoint = endpoint
        self.domain = domain
        self._make_hello = make_hello
        self.hooks = hooks
        self._clock = clock
        self._connection: _LinkConnection | None = None
        self._waiter_by_number: dict[int, asyncio.Future[Outcome]] = {}
        self._sent_at_by_number: dict[int, float] = {}
        self._on_hedge_hint_by_number: dict[int, OnHedgeHint] = {}
        self._answer_by_number: dict[int, IncomingAnswer] = {}
        self.load: GateLoad | None = None
        self.left_instance: LeftInstance | None = None
        self.on_first_load: Callable[[], None] = _ignore
        self.received_at = self.load_received_at = float("-inf")
        self._pinged_at = float("-inf")
        self._ticked_at = float("-inf")
        self._last_ping_number = 0
        self._reconnect_requested = asyncio.Event()
        self._disconnected = asyncio.Event()

    @property
    def peer(self) -> str:
        """The peer's address."""
        return str(self._endpoint)

    def _link_hello(self) -> Hello:
        """Return the hello; only traffic between failure domains is worth compressing."""
        hello = self._make_hello()
        return replace(
            hello, compressed=hello.domain != self.domain, left_instance=self.left_instance
        )

    @property
    def usable(self) -> bool:
        """Whether the peer is connected, responsive and reads what it is sent."""
        connection = self._connection
        return (
            connection is not None
            and self.load is not None
            and not self._is_suspect(self._clock.now())
            and connection.unsent_bytes() < MAX_BUFFERED_BYTES
        )

    def _is_suspect(self, now: float) -> bool:
        return self._pinged_at > self.received_at and now - self._pinged_at > SUSPECT_AFTER_S

    @property
    def in_flight(self) -> int:
        """Number of requests whose outcome has not been received."""
        return len(self._waiter_by_number)

    def sent_since_report(self) -> int:
        """Return the number of requests in flight that were sent after the last received frame.

        Any received frame counts, also one without a load report.
        """
        return sum(sent_at > self.received_at for sent_at in self._sent_at_by_number.values())

    async def run(self) -> None:
        """Keep the connection open until cancelled."""
        pause_s, timeout_s = RECONNECT_MIN_S, CONNECT_TIMEOUT_MIN_S
        try:
            while True:
                connection = await self._connect(timeout_s)
                if connection is None:
                    timeout_s = min(CONNECT_TIMEOUT_MAX_S, timeout_s * 2)
                    self._reconnect_requested.clear()
                    try:
                        async with asyncio.timeout(pause_s):
                            await self._reconnect_requested.wait()
                    except TimeoutError:
                        pause_s = min(RECONNECT_MAX_S, pause_s * 2)
                    continue
                pause_s, timeout_s = RECONNECT_MIN_S, CONNECT_TIMEOUT_MIN_S
                await self._disconnected.wait()
                await asyncio.sleep(RECONNECT_MIN_S)
        finally:
            if self._connection is not None:
                self._connection.close()

    def reconnect_now(self) -> None:
        """Try to connect now, since the peer is known to have started."""
        self._reconnect_requested.set()

    async def _connect(self, timeout_s: float) -> _LinkConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _LinkConnection(self), self._endpoint.host, self._endpoint.port
                )
        except (OSError, TimeoutError) as error:
            log.debug(
                "link", "connection attempt failed", peer=str(self._endpoint), error=repr(error)
            )
            return None
        self._connection = connection
        self._disconnected.clear()
        self.received_at = self._ticked_at = self._clock.now()
        connection.send_hello(self._link_hello())
        evacuations = self.hooks.evacuations()
        if evacuations is not None:
            connection.write(encode(evacuations))
        log.event("link up", peer=str(self._endpoint))
        return connection

    def tick(self, now: float) -> None:
        """Ping or drop a peer that sends nothing; to be called every `TICK_S` seconds."""
        connection = self._connection
        if connection is None:
            return
        if now - self._ticked_at > PROCESS_PAUSE_S:
            # This process was paused, so the peer may have sent frames that are not read yet: ping
            # it before the connection counts as lost. After a hello the peer measures the transit
            # delay of frames anew, since this process's clock may have stopped.
            connection.send_hello(self._link_hello())
            self.received_at = max(self.received_at, now - PING_IDLE_S)
        self._ticked_at = now
        silent_s = now - self.received_at
        if silent_s > LOST_AFTER_S:
            log.event("link silent", peer=str(self._endpoint), silent_s=round(silent_s, 2))
            connection.abort()
            self.handle_disconnect(connection, "silent")
        elif silent_s > (PING_BUSY_S if self._waiter_by_number else PING_IDLE_S):
            self._send_ping(connection, now)
        if self._is_suspect(now):
            # Requests in flight to an unresponsive host are better hedged on another one.
            for on_hedge_hint in list(self._on_hedge_hint_by_number.values()):
                on_hedge_hint()

    def _send_ping(self, connection: _LinkConnection, now: float) -> None:
        if self._pinged_at > self.received_at and now - self._pinged_at < PING_IDLE_S:
            return
        # The suspicion counts from the first unanswered ping.
        if self._pinged_at <= self.received_at:
            self._pinged_at = now
        self._last_ping_number += 1
        connection.write(encode(LinkPing(self._last_ping_number)))

    # -- called by the connection ------------------------------------------------------

    def handle_frame(self, frame: Frame) -> None:
        """Handle a frame from the peer."""
        self.received_at = self._clock.now()
        if isinstance(frame, GateLoad):
            self._set_load(frame)
        elif isinstance(frame, InstanceResponse | Refusal):
            self._set_load(frame.load)
            if isinstance(frame, InstanceResponse) and frame.body_bytes:
                self._begin_answer(frame)
            else:
                self._set_outcome(frame)
        elif isinstance(frame, BodyPart):
            self._add_to_answer(frame)
        elif isinstance(frame, HedgeHint):
            self._on_hedge_hint_by_number.get(frame.number, _ignore)()
        elif isinstance(frame, DocumentFrame):
            self.hooks.on_document(frame, self.peer)
        elif isinstance(frame, EvacuationSet):
            self.hooks.on_evacuations(frame, self.peer)

    def _begin_answer(self, frame: InstanceResponse) -> None:
        """Wait for the body of an answer, unless nobody waits for it any more."""
        if frame.number in self._waiter_by_number:
            self.hooks.budget.add(frame.body_bytes)
            self._answer_by_number[frame.number] = IncomingAnswer(
                frame, CollectedBody(frame.body_bytes)
            )

    def _add_to_answer(self, part: BodyPart) -> None:
        answer = self._answer_by_number.get(part.number)
        if answer is not None and answer.collected.add(part.data):
            self._set_outcome(replace(answer.frame, body=answer.collected.data, body_bytes=0))

    def _drop_answer(self, number: int) -> None:
        answer = self._answer_by_number.pop(number, None)
        if answer is not None:
            self.hooks.budget.release(answer.frame.body_bytes)

    def _set_outcome(self, outcome: Outcome) -> None:
        waiter = self._remove_request(outcome.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _set_load(self, load: GateLoad) -> None:
        is_first = self.load is None
        self.load, self.load_received_at = load, self.received_at
        if load.leaving and load.instance:
            self.left_instance = LeftInstance(load.instance, load.start_time)
        elif load.open and self._is_after_left_instance(load):
            self.left_instance = None
        if is_first:
            self.on_first_load()

    def _is_after_left_instance(self, load: GateLoad) -> bool:
        """Return whether a report is of a later incarnation than the one that leaves."""
        left = self.left_instance
        return left is not None and (
            load.instance != left.instance or load.start_time > left.start_time
        )

    def _remove_request(self, number: int) -> asyncio.Future[Outcome] | None:
        self._sent_at_by_number.pop(number, None)
        self._on_hedge_hint_by_number.pop(number, None)
        self._drop_answer(number)
        if self._connection is not None:
            self._connection.drop_body(number)
        return self._waiter_by_number.pop(number, None)

    def handle_disconnect(self, connection: _LinkConnection, reason: str) -> None:
        """Fail all requests in flight, since the connection ended."""
        if self._connection is not connection:
            return
        self._connection = None
        self._disconnected.set()
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
        for number in list(self._answer_by_number):
            self._drop_answer(number)
        self._waiter_by_number.clear()
        self._sent_at_by_number.clear()
        self._on_hedge_hint_by_number.clear()

    # -- requests ----------------------------------------------------------------------

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Send a request and wait for its outcome."""
        connection = self._connection
        if connection is None:
            raise LinkLost(f"{self._endpoint}: not connected", maybe_sent=False)
        waiter: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[request.number] = waiter
        self._sent_at_by_number[request.number] = self._clock.now()
        self._on_hedge_hint_by_number[request.number] = on_hedge_hint
        if len(request.body) < MIN_SPLIT_BYTES:
            connection.write(encode(request))
        else:
            head = replace(request, body=b"", body_bytes=len(request.body))
            connection.write(encode(head))
            connection.send_body(request.number, request.body)
        try:
            return await waiter
        except asyncio.CancelledError:
            if self._remove_request(request.number) is not None:
                connection.write(encode(Cancel(request.number)))
            raise
        finally:
            # Its exception has a traceback that refers to this frame.
            del waiter

    def send(self, frame: Frame) -> bool:
        """Send a frame that needs no reply; return False if there is no connection."""
        if self._connection is None:
            return False
        self._connection.write(encode(frame))
        return True


class _LinkConnection(FrameConnection):
    """The connection of a `Link`."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link

    @property
    def peer(self) -> str:
        """Address of the node that this one connected to."""
        return self._link.peer

    def frame_received(self, frame: Frame) -> None:
        """Pass a frame to the link."""
        self._link.handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the link."""
        super().connection_lost(exc)
        self._link.handle_disconnect(self, str(exc or "closed by the other side"))

    def send_hello(self, hello: Hello) -> None:
        """Send the hello and, if it says so, compress all frames that follow."""
        self.write(encode(hello))
        if hello.compressed:
            self.compress()
