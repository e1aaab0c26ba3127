"""Exchange of reports: none without failures, received by all within a window, and bounded in bytes."""

from random import Random

import msgspec
from fake_reports import POOL, SECOND, UPSTREAMS, health_report
from gossip_cluster import GossipCluster
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.health_gossip.gossip import FANOUT, MAX_PAYLOAD_BYTES, HealthGossip
from dahliabend.model import Outcome


def suspected_by(cluster: GossipCluster, name: str, now: int) -> list[tuple[str, int, int]]:
    """The suspected upstreams that an instance reports to its policy: name, attempts, failures."""
    reported: list[tuple[str, int, int]] = []
    cluster.instances[name].report_suspected(
        now, POOL, UPSTREAMS, cluster.names, lambda *counts: reported.append(counts)
    )
    return reported


def test_nothing_is_sent_without_failures():
    cluster = GossipCluster(20)
    for instance in cluster.instances.values():
        instance.record_outcome(SECOND, POOL, "u5", Outcome.SUCCEEDED)
    assert cluster.run(SECOND, 4) == 0


def test_failures_reach_all_instances_within_a_window_and_are_reported_to_the_policy_once():
    cluster = GossipCluster(20)
    for instance in cluster.instances.values():
        instance.record_outcome(SECOND, POOL, "u5", Outcome.SUCCEEDED)
    cluster.run(SECOND, 4)
    failing_at = ("b1", "b2", "b3")
    for name in failing_at:
        cluster.instances[name].record_outcome(4 * SECOND, POOL, "u1", Outcome.RESET)
    sent = cluster.run(4 * SECOND, 4)
    assert 0 < sent <= 20 * 4 * FANOUT * MAX_PAYLOAD_BYTES
    for name in cluster.names:
        reported = suspected_by(cluster, name, 6 * SECOND)
        assert reported == [("u1", 5, 5)] or name in failing_at
        assert len(reported + suspected_by(cluster, name, 6 * SECOND)) <= 1, "at most once per window"


def test_reports_of_instances_for_which_an_upstream_works_outvote_reports_of_its_failure():
    cluster = GossipCluster(12)
    for name, instance in cluster.instances.items():
        outcome = Outcome.TIMED_OUT if name in ("b1", "b2", "b3") else Outcome.SUCCEEDED
        for _ in range(3):
            instance.record_outcome(SECOND, POOL, "u1", outcome)
    cluster.run(SECOND, 4)
    cluster.instances["b0"].observations.clear()
    assert suspected_by(cluster, "b0", 3 * SECOND) == []


def test_with_30_percent_datagram_loss_failures_reach_most_instances():
    cluster, random = GossipCluster(20), Random(4)
    for name in ("b1", "b2", "b3", "b4"):
        cluster.instances[name].record_outcome(SECOND, POOL, "u1", Outcome.RESET)
    cluster.run(SECOND, 5, lambda *_: random.random() < 0.3)
    suspecting = sum(bool(suspected_by(cluster, name, 3 * SECOND + 1)) for name in cluster.names)
    assert suspecting >= 15


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1400))
def test_arbitrary_datagrams_raise_no_exception_and_leave_state_bounded(data):
    gossip = HealthGossip("me", 1, Random(1))
    gossip.receive(SECOND, data)
    gossip.receive(SECOND, msgspec.msgpack.encode([health_report("a", 1, ("u1", 1, 1))]))
    gossip.tick(SECOND, ["me", "b"])
    assert len(gossip.report_table.origins) <= 65
    assert len(gossip.outbox) <= 1
