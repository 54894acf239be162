"""Nodes that break one promise each, to check that the soak sees it.

`python -m soak.broken NAME mesh --settings FILE` runs the program with one function replaced;
`--list` names all.
"""

from __future__ import annotations

import sys

from peridottrack import cmdline, forward, mesh
from peridottrack.controllers import follow, localinstance
from peridottrack.ingress import BufferedResponse
from peridottrack.resendbudget import ResendBudget
from peridottrack.types import InstanceState


def mixed_answers() -> None:
    """Each caller gets the body of the answer before."""
    handle = forward.Forwarder.handle
    last = b""

    async def swapped(self, request):
        nonlocal last
        answer = await handle(self, request)
        body, last = last, answer.body
        return BufferedResponse(answer.status, answer.headers, body, answer.close)

    forward.Forwarder.handle = swapped


def repeats_orders() -> None:
    """What must not run twice is sent again after a failure."""
    forward.Forwarder._may_resend = lambda self, state: len(state.sent_to) < 3


def false_not_run() -> None:
    """What may have run is said not to have run."""
    problem = forward.Forwarder._problem

    def lying(self, kind, *more, **named):
        answer = problem(self, kind, *more, **named)
        answer.status = 503 if answer.status in (502, 504) else answer.status
        return answer

    forward.Forwarder._problem = lying


def deaf_to_leaving() -> None:
    """The word that an instance leaves is acknowledged and forgotten."""
    hear = localinstance.LocalInstanceController.apply

    def deaf(self, report):
        if report.state is InstanceState.DRAINING:
            return localinstance.ReportResult.APPLIED
        return hear(self, report)

    localinstance.LocalInstanceController.apply = deaf


def abrupt_stop() -> None:
    """A shutdown waits for nothing."""

    async def leave(self):
        await self.close()
        return True

    mesh.MeshNode.leave = leave


def deaf_to_documents() -> None:
    """Only the first document is ever taken."""
    take = follow.DocumentFollowController._apply

    def first_only(self, data, from_store):
        if self.table is None:
            take(self, data, from_store)

    follow.DocumentFollowController._apply = first_only


def boundless_repeats() -> None:
    """Second sends are not counted."""
    ResendBudget.take = lambda self: True


SWITCHES = {
    switch.__name__: switch
    for switch in (
        mixed_answers,
        repeats_orders,
        false_not_run,
        deaf_to_leaving,
        abrupt_stop,
        deaf_to_documents,
        boundless_repeats,
    )
}
GUARANTEES_BY_SWITCH = {
    "mixed_answers": {"whole answer"},
    "repeats_orders": {"at most once"},
    "false_not_run": {"not run is true"},
    "deaf_to_leaving": {"nothing after leaving"},
    "abrupt_stop": {"nothing cut"},
    "deaf_to_documents": {"recovery"},
    "boundless_repeats": {"budget"},
}
"""What the soak must find broken."""

if __name__ == "__main__":
    if sys.argv[1:] == ["--list"]:
        print("\n".join(SWITCHES))
    else:
        SWITCHES[sys.argv.pop(1)]()
        cmdline.main()
