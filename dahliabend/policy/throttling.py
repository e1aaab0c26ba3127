"""Reductions per scope: the Overload Control Information of 3GPP TS 29.500, computed by the caller.

Each scope has an entry: a reduction (the share of requests that is not sent there) with a validity, which
windows of samples renew or replace. The scopes are an endpoint with one request class, an endpoint, a request
class, the zone, and the tier behind this balancer. Of the scopes with a valid reduction, the narrowest
applies. Times are in microseconds.
"""

from dahliabend.model import Outcome

WINDOW_TICKS = 4  # ticks per window
VALIDITY_WINDOWS = 5 / 2  # windows for which an entry stays valid without renewal
MIN_REDUCTION_CHANGE = 0.05  # a smaller change renews the reduction, a larger one replaces it
MIN_TIER_SAMPLES = 20  # with fewer samples, a window of the tier counts as free of failures
MIN_SAMPLES = 5  # likewise for a window of an endpoint or a zone
DECAY_FACTOR = 1 / 2  # share of a reduction that remains after a window without failures
LINGER_VALIDITIES = (
    4  # validities after which windows without failures end the small remainder of a reduction
)
OUTLIER_REDUCTION = 2 / 5  # from it on, an endpoint is an outlier if the tier's is below half of its own


class ThrottleEntry:
    """The reduction of one scope, and the window of samples from which the next one is computed.

    Attributes:
        reduction: The share of requests not to be sent, 0 to 1; applies while it is valid.
        valid_until: When the reduction expires unless it is renewed.
        replaced_at: When the reduction last changed its value.
        opened_at: When the window was opened.
        sampled: Attempts in the window.
        failed: Those of them that failed; fractional or negative where a cost is deducted from the failures.
    """

    __slots__ = ("failed", "opened_at", "reduction", "replaced_at", "sampled", "valid_until")

    def __init__(self) -> None:
        self.reduction = 0.0
        self.valid_until = 0
        self.replaced_at = 0
        self.opened_at = 0
        self.sampled = 0
        self.failed = 0.0

    def valid_reduction(self, now: int) -> float:
        """Return the share of requests not to be sent at `now`; 0 once the reduction has expired."""
        return self.reduction if now < self.valid_until else 0.0

    def add(self, failed: float, sampled: int = 1) -> None:
        """Add attempts to the open window, and how many of them failed."""
        self.sampled += sampled
        self.failed += failed

    def end_reduction(self) -> None:
        """End the reduction before it expires, because the scope is known to have recovered."""
        self.reduction = 0.0

    def close_window(
        self, now: int, min_samples: int, validity: int, min_validity: int, *, accumulates: bool = False
    ) -> None:
        """Renew or replace the reduction by the failure ratio of the window, and open the next window.

        A window with fewer than `min_samples` stays open until a validity has passed, so that a balancer with
        little traffic reaches the number later instead of never.

        Args:
            now: The current time.
            min_samples: Number of samples below which the window counts as free of failures.
            validity: How long the reduction applies from now on.
            min_validity: The shortest validity of any entry.
            accumulates: Whether failures add to the reduction instead of replacing it.
        """
        self.reduction = self.valid_reduction(now)
        if self.sampled < min_samples and now - self.opened_at < validity:
            return
        if self.sampled:  # an empty window neither replaces nor renews the reduction
            failure_ratio = self.failed / self.sampled if self.sampled >= min_samples else 0.0
            new_reduction = (
                min(1.0, self.reduction + failure_ratio * DECAY_FACTOR) if accumulates else failure_ratio
            )
            # Throttling reduces the traffic that is sampled. If one window without failures ended the
            # reduction, the load would return in waves.
            new_reduction = max(new_reduction, self.reduction * DECAY_FACTOR)
            has_lingered = not failure_ratio and now - self.replaced_at >= LINGER_VALIDITIES * min_validity
            if has_lingered or abs(new_reduction - self.reduction) >= MIN_REDUCTION_CHANGE:
                self.reduction = new_reduction if new_reduction > MIN_REDUCTION_CHANGE else 0.0
                self.replaced_at = now
            self.valid_until = now + validity
        self.sampled = 0
        self.failed = 0.0
        self.opened_at = now


class Throttling:
    """The entries of the scopes wider than an endpoint, and the validity of all entries.

    Attributes:
        window: Length of a window.
        min_validity: The shortest validity.
        validity: The validity of entries, in which the tier gets `MIN_TIER_SAMPLES` at the current rate.
        tier: Entry of all endpoints together.
        same_zone: Entry of the balancer's own zone; the cost of crossing zones is deducted from its failures.
        idle_connections: Entry of the connections that had been idle.
        classes: By request class, the entry of the class over the whole tier.
        class_outliers: By request class, whether it fails at every endpoint while another class does not.
    """

    def __init__(self, class_count: int, window: int) -> None:
        self.window = window
        self.min_validity = round(window * VALIDITY_WINDOWS)
        self.validity = self.min_validity
        self.tier = ThrottleEntry()
        self.same_zone = ThrottleEntry()
        self.idle_connections = ThrottleEntry()
        self.classes = [ThrottleEntry() for _ in range(class_count)]
        self.class_outliers = [False] * class_count

    def open(self, now: int) -> None:
        """Open the first window of the tier at `now`; before, there was nothing to sample."""
        self.tier.opened_at = now

    def narrowest_entry(self, entries: list[ThrottleEntry], class_index: int, now: int) -> ThrottleEntry:
        """Return the entry of the narrowest scope with a valid reduction, or else that of the tier.

        Looks at the entry of the endpoint with the class, then that of the endpoint, then that of the tier. A
        wider scope than needed would throttle traffic that has no part in the failures.

        Args:
            entries: The entries of one endpoint: by class, and the last one for all classes.
            class_index: The request class.
            now: The current time.
        """
        class_entry = entries[class_index]
        if class_entry.reduction and now < class_entry.valid_until:
            return class_entry
        endpoint_entry = entries[-1]
        if endpoint_entry.reduction and now < endpoint_entry.valid_until:
            return endpoint_entry
        return self.tier

    def min_tier_samples(self, elapsed: int) -> int:
        """Return how many samples of the tier are sufficient after `elapsed`.

        Half of them once a validity has passed: in an overload, waiting for all of them would take too long.
        """
        return MIN_TIER_SAMPLES if elapsed < self.min_validity else MIN_TIER_SAMPLES // 2

    def add_class_sample(self, class_index: int, outcome: Outcome) -> None:
        """Add an attempt's outcome to its class; a rejection counts against the tier, not the class."""
        entry = self.classes[class_index]
        entry.sampled += 1
        entry.failed += outcome is not Outcome.SUCCEEDED and not outcome.proves_not_executed

    def add_endpoint_sample(self, entries: list[ThrottleEntry], class_index: int, *, is_failed: bool) -> None:
        """Add an attempt's outcome to both scopes of its endpoint: with the class, and for all classes."""
        for entry in (entries[class_index], entries[-1]):
            entry.sampled += 1
            entry.failed += is_failed

    def add_zone_sample(self, cost: float, *, is_failed: bool) -> None:
        """Add the outcome of an attempt to the balancer's own zone.

        The cost of crossing zones (in responses) is deducted, so that traffic leaves the zone only where
        staying loses more than crossing costs.
        """
        self.same_zone.add(is_failed - cost * DECAY_FACTOR)

    def add_tier_sample(self, *, is_failed: bool) -> None:
        """Add the outcome of an attempt to the tier."""
        self.tier.sampled += 1
        self.tier.failed += is_failed

    def add_idle_sample(self, lost: int) -> None:
        """Add a request on a connection that had been idle, as this many losses (0: it was answered)."""
        self.idle_connections.add(lost, lost or 1)

    def close_windows(self, now: int) -> None:
        """Close the windows of these scopes at `now`, and update `class_outliers`."""
        linger = LINGER_VALIDITIES * self.validity
        self.tier.close_window(
            now, self.min_tier_samples(now - self.tier.opened_at), self.validity, self.min_validity
        )
        self.same_zone.close_window(now, MIN_SAMPLES, self.validity, self.min_validity, accumulates=True)
        self.idle_connections.close_window(now, MIN_TIER_SAMPLES, linger, linger)
        for entry in self.classes:
            entry.close_window(now, MIN_TIER_SAMPLES // 2, self.validity, self.min_validity)
        self.class_outliers = self.find_class_outliers(now)

    def find_class_outliers(self, now: int) -> list[bool]:
        """Return, by class, whether it fails at every endpoint at `now` while another class does not.

        If the failures of such a class counted against endpoints and the tier, healthy endpoints would be
        ejected.
        """
        min_reduction = 1 - OUTLIER_REDUCTION
        has_healthy_class = any(
            entry.valid_until > now and entry.reduction < OUTLIER_REDUCTION / 2 for entry in self.classes
        )
        return [has_healthy_class and entry.valid_reduction(now) >= min_reduction for entry in self.classes]

    def set_validity(self, send_rate: float) -> None:
        """Set the validity to the time in which the tier gets its samples at `send_rate` (attempts per us).

        With a shorter validity, at a low rate, reductions would expire before a window could renew them.
        """
        time_to_min_samples = MIN_TIER_SAMPLES / send_rate if send_rate else 0.0
        self.validity = round(VALIDITY_WINDOWS * max(self.window, time_to_min_samples))
