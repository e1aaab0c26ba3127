"""Checks of how a route's requests are treated, against the rules of its class.

Each fault names the key that sets the value, in whichever table that is.
"""

from dahliabend.config.operator_file.schema import ClassSettings, OperatorFile, RouteSettings
from dahliabend.config.operator_file.source import Source
from dahliabend.config.operator_file.units import Duration
from dahliabend.routing_rules.treatment import EffectiveTreatment, target_pools

HEDGED_ATTEMPTS = 2  # the first one and the hedged one
TOLERANCE = 1e-9  # of sums of fractions
MICROSECONDS_PER_SECOND = 1e6


def check_treatment(file: OperatorFile, number: int, source: Source) -> None:
    """The treatment of one route, whose class is in the file."""
    check = _TreatmentCheck(file, number, source)
    check.shared_limit()
    check.times()
    check.hedging()
    check.replays()
    check.retry_share()
    check.rate_in_slow_start()


class _TreatmentCheck:
    """Checks one route's treatment; each method adds at most a few faults."""

    def __init__(self, file: OperatorFile, number: int, source: Source) -> None:
        self._file = file
        self._number = number
        self._source = source
        self._route: RouteSettings = file.routes[number]
        self._class: ClassSettings = file.classes[self._route.class_]
        self._treatment = EffectiveTreatment(file, self._route, number)

    def _fault(self, field: str, reason: str) -> None:
        """Add a fault at the key that sets a field."""
        key = self._treatment.keys[field]
        inherited = f" (for the route {self._route.name!r})" if key[0] != "routes" else ""
        self._source.add_fault(key, reason + inherited)

    def shared_limit(self) -> None:
        """A limit that balancers share needs gossip, and something to share."""
        if not self._route.shared:
            return
        key = ("routes", self._number, "shared")
        members = self._file.members
        if members is None or not members.signals:
            reason = "wants [members] with signals = true: by these the others hear of each one's part"
            self._source.add_fault(key, reason)
        if self._treatment.rate is None and self._treatment.concurrency is None:
            self._source.add_fault(key, "there is no rate and no concurrency to share")

    def times(self) -> None:
        """Attempts fit into the total time, and this into the deadline."""
        treatment = self._treatment
        limit = self._class.hard_limit
        if treatment.total_time > limit:
            reason = f"{treatment.total_time} is over the hard limit of {self._route.class_!r}, {limit}"
            self._fault("total_time", reason)
        if treatment.attempt_timeout is None:
            return
        if treatment.attempt_timeout > limit:
            reason = f"{treatment.attempt_timeout} is over the hard limit of {self._route.class_!r}, {limit}"
            self._fault("attempt_timeout", reason)
        elif treatment.attempt_timeout > treatment.total_time:
            self._fault(
                "attempt_timeout",
                f"{treatment.attempt_timeout} is over the total time, {treatment.total_time}",
            )
        elif self._is_set("attempts"):
            needed = Duration(treatment.attempts * treatment.attempt_timeout)
            if needed > treatment.total_time:
                reason = (
                    f"{treatment.attempts} of {treatment.attempt_timeout} take {needed}; "
                    f"there are {treatment.total_time}"
                )
                self._fault("attempts", reason)

    def hedging(self) -> None:
        """Only idempotent requests are hedged, and only where that can act."""
        treatment = self._treatment
        delay = treatment.second_copy_after
        if delay is None:
            return
        if self._class.effect != "idempotent":
            reason = f"{self._route.class_!r} is {self._class.effect}: never two hops at once"
            self._fault("second_copy_after", reason)
        elif treatment.attempts < HEDGED_ATTEMPTS:
            self._fault("second_copy_after", "attempts allows no second hop")
        elif delay >= (treatment.attempt_timeout or treatment.total_time):
            self._fault("second_copy_after", f"{delay} is over the time of a hop: it never acts")

    def replays(self) -> None:
        """Requests that are not idempotent never run twice; replays are attempts, too."""
        treatment = self._treatment
        if not treatment.replays:
            return
        if self._class.effect == "non-idempotent":
            self._fault("replays", f"{self._route.class_!r} is non-idempotent: it may have an effect twice")
        elif treatment.replays >= treatment.attempts and self._is_set("replays"):
            reason = (
                f"{treatment.replays} replays need {treatment.replays + 1} attempts, "
                f"there are {treatment.attempts}"
            )
            self._fault("replays", reason)

    def retry_share(self) -> None:
        """Retries in a pool, and again in the one that it falls back to, multiply."""
        share = self._treatment.retry_share
        if share is None:
            return
        pools = self._file.pools
        has_fallback = bool(self._route.fallback) or any(
            pools[name].fallback for name in target_pools(self._route) if name in pools
        )
        total = (1 + share) ** 2 - 1 if has_fallback else share
        limit = self._file.defaults.most_retry_share
        if total > limit + TOLERANCE:
            cause = " with the fallback's" if has_fallback else ""
            self._fault("retry_share", f"{100 * total:g}% of first hops{cause}; {limit} is the most")

    def rate_in_slow_start(self) -> None:
        """A rate at which a new upstream gets no request while it warms up is too low.

        It would be found warm only by chance.
        """
        rate = self._treatment.rate
        if rate is None:
            return
        for name in target_pools(self._route):
            pool = self._file.pools.get(name)
            if pool is None or not pool.members:
                continue
            pool_rate = rate * self._pool_share(name)
            upstream_rate = pool_rate * pool.slow_start.share * pool.slow_start.time
            requests = upstream_rate / MICROSECONDS_PER_SECOND / len(pool.members)
            if 0 < requests < 1:
                got = f"{requests:.2g} transactions in {pool.slow_start.time}"
                self._fault("rate", f"{rate}: a cold upstream of {name!r} would get {got}")
                return

    def _pool_share(self, name: str) -> float:
        """The share of the route's requests of one of its pools."""
        weights = self._route.pools or {name: 1.0}
        return weights.get(name, 0.0) / (sum(weights.values()) or 1)

    def _is_set(self, field: str) -> bool:
        """Whether a key of the file sets the field; else it is a default."""
        return self._treatment.keys[field][-1] == field
