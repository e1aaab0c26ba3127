"""A port that records the calls made to it, and balancers that act through such a port."""

from dahliabend.model import DeduplicationScope, EndpointState, Idempotency, PolicySettings, RequestClass
from dahliabend.policy.balancer import Balancer

MS, S = 1_000, 1_000_000
IDEMPOTENT = RequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 2 * S, 5 * S, 1.0, 0.5)
DEDUPLICATED = RequestClass(Idempotency.DEDUPLICATED, DeduplicationScope.CELL, 8 * S, 2 * S, 5 * S, 1.0, 0.5)
NON_IDEMPOTENT = RequestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 2 * S, 5 * S, 1.0, 0.5)
BASE = dict(
    instance_count=2,
    instance_index=0,
    tier=0,
    zone=0,
    request_classes=(IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT),
    tenant_quotas=(),
    over_quota_weight=0.2,
    overall_weight=1.0,
    worst_class_weight=0.0,
    cross_zone_cost=0.0,
    max_attempts=3,
    can_cancel=True,
    can_health_check=True,
    sends_retry_after=True,
    max_retry_after=S,
    polls_endpoints=False,
    poll_deadline=10 * S,
    initial_capacity=0.2,
    warmup_time=10 * S,
    warmup_multiple=3.0,
)


class RecordingPort(list):
    """The calls in order, each as (name, *arguments)."""

    def __getattr__(self, name):
        return lambda *args: self.append((name, *args))

    def calls_to(self, name):
        return [call for call in self if call[0] == name]


def make_balancer(endpoints=4, cell_count=2, process_started_at=0, now=100 * S, **changes):
    """A balancer with this number of ready endpoints, and its port."""
    port = RecordingPort()
    balancer = Balancer(PolicySettings(**{**BASE, **changes}), port, 7)
    balancer.update_endpoints(
        now,
        [
            (n, EndpointState.READY, process_started_at, 1.0, n % cell_count, n % cell_count, b"%d" % n)
            for n in range(endpoints)
        ],
        full=True,
    )
    return balancer, port


def admit(balancer, class_index, now=100 * S, request_id=1, **more):
    """Admit a request of a class, with 5 s until its deadline."""
    return balancer.admit(now, request_id, class_index, 0, now + 5 * S, **more)
