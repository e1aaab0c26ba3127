"""Held reduction percentages: the Overload Control Information of 3GPP TS 29.500, worked out by the caller.

Each scope has an entry: a reduction with a validity, by windows of samples. The finest valid scope governs.
"""

WINDOW_TICKS, VALIDITY_WINDOWS = 4, 5 / 2  # ticks in a window; windows for which an entry unrenewed is valid
STEP = 0.05  # a smaller change of a reduction renews it, a larger one replaces it
TIER_FLOOR, FLOOR = 20, 5  # samples below which a window counts as without failures, by scope
EASING = 1 / 2  # of a held reduction, kept by each window without failures
LINGER = 4  # validities: how long the last percents of an eased reduction are renewed by such windows
OUTLIER_REDUCTION = 2 / 5  # at which one scope is an outlier, where the others hold less than half of that
MEMORY, RECENT = 1 / 16, 1 / 6  # weight of the newest sample in a running mean; where samples are few


def updated_mean(mean: float, sample: float, weight: float = MEMORY) -> float:
    return mean + (sample - mean) * weight if mean else sample  # the first sample stands for itself


class ThrottleEntry:
    """The reduction held for one scope, and the window of samples that gives the next."""

    __slots__ = ("failed", "opened_at", "reduction", "replaced_at", "sampled", "valid_until")

    def __init__(self) -> None:
        self.reduction = self.failed = 0.0
        self.valid_until = self.replaced_at = self.opened_at = self.sampled = 0

    def valid_reduction(self, now: int) -> float:  # the share of requests not to be sent
        return self.reduction if now < self.valid_until else 0.0

    def add(self, failed: float, sampled: int = 1) -> None:  # attempts of the open window
        self.sampled, self.failed = self.sampled + sampled, self.failed + failed

    def close_window(self, now: int, floor: int, validity: int, span: int, *, adds: bool = False) -> None:
        """Renews or replaces the reduction, or adds to it; `span` is the shortest validity of any entry."""
        self.reduction = self.valid_reduction(now)
        if self.sampled < floor and now - self.opened_at < validity:
            return  # the window stays open: a quiet balancer reaches the floor later, not never
        if self.sampled:  # an empty window neither replaces nor renews
            seen = self.failed / self.sampled if self.sampled >= floor else 0.0
            # Throttling thins the traffic seen here: dropped at one clean window, load would return in waves.
            new = max(min(1.0, self.reduction + seen * EASING) if adds else seen, self.reduction * EASING)
            lingered = not seen and now - self.replaced_at >= LINGER * span
            if lingered or abs(new - self.reduction) >= STEP:
                self.reduction, self.replaced_at = new if new > STEP else 0.0, now
            self.valid_until = now + validity
        self.sampled, self.failed, self.opened_at = 0, 0.0, now


class Throttling:
    """The reductions of the scopes wider than an endpoint, and the validity of all entries."""

    def __init__(self, class_count: int, window: int) -> None:
        self.window = window
        self.span = self.validity = round(window * VALIDITY_WINDOWS)  # the shortest, and as floors need it
        self.tier, self.same_zone, self.idle_connections = (ThrottleEntry() for _ in range(3))
        self.classes = [ThrottleEntry() for _ in range(class_count)]  # of the whole tier with one class
        self.class_outliers = [False] * class_count  # does it fail at every endpoint, and others not?

    def governing(self, entries: list[ThrottleEntry], class_index: int, now: int) -> ThrottleEntry:
        """The finest scope with a valid reduction: an endpoint's with the class, its own, or the tier's."""
        finest, own = entries[class_index], entries[-1]
        return finest if finest.valid_reduction(now) else own if own.valid_reduction(now) else self.tier

    def tier_floor(self, elapsed: int) -> int:  # an overload would not wait for the whole
        return TIER_FLOOR if elapsed < self.span else TIER_FLOOR // 2

    def close_windows(self, now: int) -> None:  # of these scopes
        linger, least = LINGER * self.validity, 1 - OUTLIER_REDUCTION
        self.tier.close_window(now, self.tier_floor(now - self.tier.opened_at), self.validity, self.span)
        self.same_zone.close_window(now, FLOOR, self.validity, self.span, adds=True)
        self.idle_connections.close_window(now, TIER_FLOOR, linger, linger)
        for entry in self.classes:
            entry.close_window(now, TIER_FLOOR // 2, self.validity, self.span)
        clean = any(e.valid_until > now and e.reduction < OUTLIER_REDUCTION / 2 for e in self.classes)
        self.class_outliers = [clean and e.valid_reduction(now) >= least for e in self.classes]

    def set_validity(self, send_rate: float) -> None:  # as long as the floor takes; attempts a microsecond
        self.validity = round(VALIDITY_WINDOWS * max(self.window, TIER_FLOOR / (send_rate or TIER_FLOOR)))
