"""Held reduction percentages: the Overload Control Information of 3GPP TS 29.500, worked out by the caller.

Each scope has an entry: a reduction (the share of requests not to be sent there) with a validity, renewed or
replaced by windows of samples. Scopes are an endpoint with one request class, an endpoint, a request class,
the zone, and the tier behind this balancer. The finest scope with a valid reduction governs.
"""

from dahliabend.model import Outcome

WINDOW_TICKS = 4  # ticks in a window
VALIDITY_WINDOWS = 5 / 2  # windows for which an entry that is not renewed stays valid
MIN_REDUCTION_CHANGE = 0.05  # a smaller change of a reduction renews it, a larger one replaces it
MIN_TIER_SAMPLES = 20  # samples below which a window of the tier counts as without failures
MIN_SAMPLES = 5  # the same for a window of an endpoint or a zone
DECAY_FACTOR = 1 / 2  # of a held reduction, kept by each window without failures
LINGER_VALIDITIES = 4  # how long the last percents of an eased reduction are renewed by such windows
OUTLIER_REDUCTION = 2 / 5  # at which one scope is an outlier, where the others hold less than half of that


class ThrottleEntry:
    """The reduction held for one scope, and the window of samples that gives the next.

    Attributes:
        reduction: The share of requests not to be sent, 0 to 1; holds while it is valid.
        valid_until: When the reduction lapses unless it is renewed (us).
        replaced_at: When another value took the reduction's place last (us).
        opened_at: When the window was opened (us).
        sampled: Attempts in the window.
        failed: Those of them that failed; fractions and less than 0 where a cost is set against failures.
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
        """Return the share of requests not to be sent at a time (us); 0 once the reduction has lapsed."""
        return self.reduction if now < self.valid_until else 0.0

    def add(self, failed: float, sampled: int = 1) -> None:
        """Count attempts in the open window, and how many of them failed."""
        self.sampled += sampled
        self.failed += failed

    def end_reduction(self) -> None:
        """End the reduction before its validity: the scope is known to have recovered."""
        self.reduction = 0.0

    def close_window(
        self, now: int, min_samples: int, validity: int, min_validity: int, *, accumulates: bool = False
    ) -> None:
        """Renew or replaces the reduction by the window's share of failures, and opens the next window.

        A window below the floor stays open until the validity has passed: a quiet balancer reaches the floor
        later, not never.

        Args:
            now: The time (us).
            min_samples: Samples below which the window counts as without failures.
            validity: How long the reduction holds from now on (us).
            min_validity: The shortest validity of any entry (us).
            accumulates: Whether failures add to the reduction instead of setting it.
        """
        self.reduction = self.valid_reduction(now)
        if self.sampled < min_samples and now - self.opened_at < validity:
            return
        if self.sampled:  # an empty window neither replaces nor renews
            failure_ratio = self.failed / self.sampled if self.sampled >= min_samples else 0.0
            new_reduction = (
                min(1.0, self.reduction + failure_ratio * DECAY_FACTOR) if accumulates else failure_ratio
            )
            # Throttling thins the traffic seen here: dropped at one clean window, load would return in waves.
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
    """The reductions of the scopes wider than an endpoint, and the validity of all entries.

    Attributes:
        window: Length of a window (us).
        min_validity: The shortest validity (us).
        validity: The validity of entries, long enough for the tier's floor at the present rate (us).
        tier: Of all endpoints together.
        same_zone: Of the own zone, against the cost of crossing zones.
        idle_connections: Of connections that were idle.
        classes: By request class, of the whole tier with it.
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
        """Open the tier's first window at a time (us): before, there is nothing that could be sampled."""
        self.tier.opened_at = now

    def governing_entry(self, entries: list[ThrottleEntry], class_index: int, now: int) -> ThrottleEntry:
        """The finest scope with a valid reduction: an endpoint's with the class, its own, or the tier's.

        Takes an endpoint's entries (by class, the last of all classes) and the time (us). A wider scope would
        throttle what has no part in the failures.
        """
        finest = entries[class_index]
        if finest.reduction and now < finest.valid_until:
            return finest
        own = entries[-1]
        if own.reduction and now < own.valid_until:
            return own
        return self.tier

    def min_tier_samples(self, elapsed: int) -> int:
        """Return how many samples of the tier are enough after so long (us).

        An overload would not wait for all of them: half are enough once a validity has passed.
        """
        return MIN_TIER_SAMPLES if elapsed < self.min_validity else MIN_TIER_SAMPLES // 2

    def add_class_sample(self, class_index: int, outcome: Outcome) -> None:
        """Count the end of an attempt in its class; a rejection is the tier's doing, not the class's."""
        entry = self.classes[class_index]
        entry.sampled += 1
        entry.failed += outcome is not Outcome.SUCCEEDED and not outcome.proves_not_executed

    def add_endpoint_sample(self, entries: list[ThrottleEntry], class_index: int, *, is_failed: bool) -> None:
        """Count the end of an attempt in its endpoint's two scopes: with the class, and of all classes."""
        for entry in (entries[class_index], entries[-1]):
            entry.sampled += 1
            entry.failed += is_failed

    def add_zone_sample(self, cost: float, *, is_failed: bool) -> None:
        """Count the end of an attempt in the own zone.

        The cost of crossing (in answers) is set against it: a zone is left only where staying loses more.
        """
        self.same_zone.add(is_failed - cost * DECAY_FACTOR)

    def add_tier_sample(self, *, is_failed: bool) -> None:
        """Count the end of an attempt in the tier."""
        self.tier.sampled += 1
        self.tier.failed += is_failed

    def add_idle_sample(self, lost: int) -> None:
        """Count a request on a connection that was idle: 0 if it was answered, else as how many losses."""
        self.idle_connections.add(lost, lost or 1)

    def close_windows(self, now: int) -> None:
        """Close the windows of these scopes at a time (us), and finds the classes that are outliers."""
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
        """Return, by class, whether it fails at every endpoint at a time (us) while another class does not.

        Counted against endpoints and the tier, such a class would eject endpoints that are well.
        """
        min_reduction = 1 - OUTLIER_REDUCTION
        has_healthy_class = any(
            entry.valid_until > now and entry.reduction < OUTLIER_REDUCTION / 2 for entry in self.classes
        )
        return [has_healthy_class and entry.valid_reduction(now) >= min_reduction for entry in self.classes]

    def set_validity(self, send_rate: float) -> None:
        """Make entries valid for as long as the tier's floor takes at this rate (attempts a microsecond).

        At a low rate the reductions of a shorter validity would lapse before a window could renew them.
        """
        time_to_min_samples = MIN_TIER_SAMPLES / send_rate if send_rate else 0.0
        self.validity = round(VALIDITY_WINDOWS * max(self.window, time_to_min_samples))
