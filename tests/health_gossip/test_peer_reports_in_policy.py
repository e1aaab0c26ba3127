"""Reports of other instances take effect in the policy like failures of own attempts."""

from types import SimpleNamespace

from fake_reports import SECOND

from dahliabend.model import EndpointState
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.throttling import MIN_SAMPLES, WINDOW_TICKS
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.cluster.workload_model import WorkloadModel


def test_policy_ejects_an_upstream_that_peers_report_as_failing():
    port = SimpleNamespace(set_timer=lambda *_: None, check_health=lambda *_: None)
    balancer = Balancer(WorkloadModel(ClusterScript(instances=1), 1).settings(), port, 1)
    endpoint_updates = [(n, EndpointState.READY, 0, 1.0, 0, 0, b"u%d" % n) for n in range(3)]
    balancer.update_endpoints(SECOND, endpoint_updates, full=True)
    balancer.add_peer_report(1, MIN_SAMPLES, MIN_SAMPLES)
    balancer.add_peer_report(7, MIN_SAMPLES, MIN_SAMPLES)  # an endpoint that is not in the list
    for tick in range(WINDOW_TICKS):
        balancer.timer_fired(SECOND + (tick + 1) * balancer.tick, 0)
    ejected = [endpoint.is_ejected for _, endpoint in sorted(balancer.selection.endpoints.items())]
    assert ejected == [False, True, False]
