"""An error in one piece of background work ends no other."""

from __future__ import annotations

import contextlib

from helpers import make_instance

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
