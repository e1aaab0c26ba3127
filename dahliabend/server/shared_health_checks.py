"""Health checks that balancers share: one of them checks an upstream, the others are told the result.

Imported only where `[members]` has `probing`: nothing else pays for it.
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
    """Return the name under which balancers lease the check of an upstream; it stands on the wire."""
    return f"probe {pool} {endpoint.name}"


class SharedHealthChecks:
    """The leased health checks of this balancer, run by its routers.

    Attributes:
        leased: Who checks what, free of I/O.
    """

    def __init__(self, own_name: str, period: int, log: EventLog) -> None:
        """Make checks that nobody shares yet.

        Args:
            own_name: This balancer's name.
            period: Microseconds between two checks of an upstream.
            log: The event log.
        """
        self.leased = LeasedHealthChecks(own_name, period, self._run_check, log)
        self._targets: dict[str, tuple[Router, Endpoint]] = {}  # by task

    def request_check(self, pool: str, endpoint: Endpoint, policy: PolicyPort) -> bool:
        """Have an upstream checked for a policy, which is told the result.

        Returns:
            False if nobody shares the check: the policy has to check the upstream itself.
        """
        index = endpoint.index
        task = health_check_task(pool, endpoint)
        return self.leased.request_check(
            clock(), task, lambda _, outcome: policy.health_check_finished(index, outcome)
        )

    def tick(self, members: Iterable[Candidate], settled: bool, pools: Sequence[tuple[str, Router]]) -> None:
        """Run the checks that are due here.

        Args:
            members: Name and zone of each balancer that is present.
            settled: Whether that is known for certain.
            pools: Name and router of each pool whose checks are shared.
        """
        self._targets = {
            health_check_task(pool, endpoint): (router, endpoint)
            for pool, router in pools
            for endpoint in router.table.endpoints.values()
            if endpoint.state is EndpointState.READY
        }
        zones = {task: endpoint.zone for task, (_, endpoint) in self._targets.items()}
        self.leased.tick(clock(), members, settled, zones)

    def status(self) -> dict[str, Any]:
        """Return, for operators, who ran each check last, with which fencing token, and how long ago."""
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
            return  # its upstream has gone since
        router, endpoint = self._targets[task]
        router.policies[-1].start_health_check(endpoint, lambda _, outcome: on_result(clock(), outcome))
