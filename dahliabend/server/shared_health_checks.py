"""Health checks shared by balancers: one balancer checks an upstream and announces the result to the others.

Imported only if `[members]` has `probing`, so that other configurations don't load its dependencies.
"""

from collections.abc import Iterable, Sequence
from typing import Any

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.leased_health_checks import LeasedHealthChecks, ResultCallback
from dahliabend.model import EndpointState, Outcome
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.router import Router
from dahliabend.server.log import EventLog
from dahliabend.transport.timers import clock

MICROSECONDS_PER_MILLISECOND = 1000


def health_check_task(pool: str, endpoint: Endpoint) -> str:
    """Return the name of the lease for the health check of an upstream; it is part of the wire format."""
    return f"probe {pool} {endpoint.name}"


class SharedHealthChecks:
    """The health checks that this balancer runs under leases, and their results for its policies.

    Attributes:
        leased: The leases of health checks, without I/O.
    """

    def __init__(self, own_name: str, period: int, log: EventLog) -> None:
        """Create shared health checks without targets; `tick` sets these.

        Args:
            own_name: This balancer's name.
            period: Microseconds between two checks of an upstream.
            log: The event log.
        """
        self.leased = LeasedHealthChecks(own_name, period, self._run_check, log)
        self._targets: dict[str, tuple[Router, Endpoint]] = {}  # by task

    def request_check(self, pool: str, endpoint: Endpoint, policy: PolicyPort) -> bool:
        """Request the shared check of an upstream; its result is passed to the policy.

        Returns:
            False if the check is not shared, so that the policy has to check the upstream itself.
        """
        index = endpoint.index
        task = health_check_task(pool, endpoint)
        return self.leased.request_check(
            clock(), task, lambda _, outcome: policy.health_check_finished(index, outcome)
        )

    def tick(self, members: Iterable[Candidate], stable: bool, pools: Sequence[tuple[str, Router]]) -> None:
        """Run the checks that are due and leased by this balancer.

        Args:
            members: The name and zone of each balancer that is present.
            stable: Whether the membership is stable enough to rely on `members`.
            pools: The name and router of each pool with shared health checks.
        """
        self._targets = {
            health_check_task(pool, endpoint): (router, endpoint)
            for pool, router in pools
            for endpoint in router.table.endpoints.values()
            if endpoint.state is EndpointState.READY
        }
        zones = {task: endpoint.zone for task, (_, endpoint) in self._targets.items()}
        self.leased.tick(clock(), members, stable, zones)

    def status(self) -> dict[str, Any]:
        """Return the holder, fencing token and last result of each lease, for the admin call `/api/turns`."""
        now = clock()
        election = self.leased.election
        rows = [
            {
                "duty": task,
                "owner": lease.holder,
                "fence": lease.fencing_token,
                "place": election.rank(task),
                "age_ms": (now - lease.last_run_at) // MICROSECONDS_PER_MILLISECOND
                if lease.completed_runs
                else None,
                "result": Outcome(lease.result).name if lease.completed_runs else "",
            }
            for task, lease in sorted(election.leases.items())
        ]
        return {
            "name": election.own_name,
            "period_ms": election.period // MICROSECONDS_PER_MILLISECOND,
            "settled": election.view_settled,
            "duties": rows,
            "probes": self.leased.checks_run,
            "refused": election.rejected,
        }

    def _run_check(self, task: str, on_result: ResultCallback) -> None:
        if task not in self._targets:
            return  # the upstream has been removed in the meantime
        router, endpoint = self._targets[task]
        router.policies[-1].start_health_check(endpoint, lambda _, outcome: on_result(clock(), outcome))
