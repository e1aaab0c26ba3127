"""Probing by turns on sockets. Imported only where `[members]` has `probing`: nothing else pays for it."""

from collections.abc import Callable, Iterable

from dahliabend.leases.leased_health_checks import LeasedHealthChecks, ResultCallback
from dahliabend.model import EndpointState, Outcome
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.router import Router
from dahliabend.transport.timers import clock


def health_check_task(pool: str, upstream: Endpoint) -> str:
    return f"probe {pool} {upstream.name}"


class SharedHealthChecks:
    def __init__(self, me: str, period: int, log: Callable) -> None:
        self.shared = LeasedHealthChecks(me, period, self.probe, log)
        self.places: dict[str, tuple[Router, Endpoint]] = {}  # by duty

    def want(self, pool: str, upstream: Endpoint, policy: PolicyPort) -> bool:
        """The decisions want one probed. False: it is theirs to do."""
        index, duty = upstream.index, health_check_task(pool, upstream)
        return self.shared.request_check(
            clock(), duty, lambda _, outcome: policy.health_check_finished(index, outcome)
        )

    def beat(
        self, members: Iterable[tuple[str, str]], settled: bool, pools: list[tuple[str, Router]]
    ) -> None:
        self.places = {
            health_check_task(pool, upstream): (router, upstream)
            for pool, router in pools
            for upstream in router.table.endpoints.values()
            if upstream.state is EndpointState.READY
        }
        zones = {duty: upstream.zone for duty, (_, upstream) in self.places.items()}
        self.shared.tick(clock(), members, settled, zones)

    def probe(self, duty: str, told: ResultCallback) -> None:
        if duty in self.places:  # else it has gone since
            router, upstream = self.places[duty]
            router.policies[-1].start_health_check(upstream, lambda _, outcome: told(clock(), outcome))

    def shown(self) -> dict:
        """Of each duty, who did it last, under which number and how long ago."""
        now, shared, election = clock(), self.shared, self.shared.election
        rows = [
            {
                "duty": duty,
                "owner": k.holder,
                "fence": k.fencing_token,
                "place": election.rank(duty),
                "age_ms": (now - k.last_run_at) // 1000 if k.completed_runs else None,
                "result": Outcome(k.result).name if k.completed_runs else "",
            }
            for duty, k in sorted(election.leases.items())
        ]
        return {
            "name": election.own_name,
            "period_ms": election.period // 1000,
            "settled": election.view_settled,
            "duties": rows,
            "probes": shared.checks_run,
            "refused": election.rejected,
        }
