"""What others report takes effect in the policy as own failures do."""

from types import SimpleNamespace

from fake_reports import SECOND

from dahliabend.model import EndpointState
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.throttling import MIN_SAMPLES, WINDOW_TICKS
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.cluster.workload_model import WorkloadModel


def test_policy_ejects_an_upstream_by_peer_reports_as_by_own_attempts():
    port = SimpleNamespace(set_timer=lambda *_: None, check_health=lambda *_: None)
    balancer = Balancer(WorkloadModel(ClusterScript(instances=1), 1).settings(), port, 1)
    rows = [(n, EndpointState.READY, 0, 1.0, 0, 0, b"u%d" % n) for n in range(3)]
    balancer.update_endpoints(SECOND, rows, full=True)
    balancer.add_peer_report(1, MIN_SAMPLES, MIN_SAMPLES)
    balancer.add_peer_report(7, MIN_SAMPLES, MIN_SAMPLES)  # not listed any more
    for tick in range(WINDOW_TICKS):
        balancer.timer_fired(SECOND + (tick + 1) * balancer.tick, 0)
    ejected = [endpoint.is_ejected for _, endpoint in sorted(balancer.selection.endpoints.items())]
    assert ejected == [False, True, False]
