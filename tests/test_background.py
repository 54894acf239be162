"""An error in one piece of background work ends no other."""

from __future__ import annotations

import asyncio
import contextlib

from helpers import make_instance

from peridottrack.controllers import loadreports
from peridottrack.controllers.members import ClusterView


# The reminder of an instance that leaves comes first; an error in it kept views from the balancer.
async def test_view_of_the_cluster_reaches_those_behind_one_that_fails(harness, monkeypatch):
    node, instance = harness.node().node, make_instance(1)
    applied = []

    def fail(instance_id):
        raise RuntimeError("a view that cannot be applied")

    node.leaving._known_at_by_instance[instance.instance_id] = 0.0
    monkeypatch.setattr(node.members, "node_of", fail)
    monkeypatch.setattr(node.load, "set_instances", lambda *view: applied.append(view))
    with contextlib.suppress(RuntimeError):
        node.members.cluster_views.on_next(ClusterView((instance,), 7))
    assert ([], 7) in applied


# After one error in a report of slowness, a node took no more samples of its host.
async def test_host_is_sampled_after_a_report_that_failed(harness, monkeypatch):
    reports, asked = harness.node().node.load_reports, []

    def fail(change):
        asked.append(change)
        raise RuntimeError("a report that cannot be sent")

    monkeypatch.setattr(reports._detector, "sample", lambda delay_s, now: "change")
    monkeypatch.setattr(reports, "report_slowness", fail)
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    await asyncio.sleep(10 * loadreports.SAMPLE_INTERVAL_S)
    assert len(asked) > 1
