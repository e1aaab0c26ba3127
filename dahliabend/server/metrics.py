"""The counters of requests, attempts and reloads since the start of the process, for `/api/telemetry`."""

from collections.abc import Collection, Iterable
from typing import Any

MAX_CLASSES = 256  # request classes kept; bounds the table when reloads keep introducing new names

FULFILLED, THROTTLED, FAULTED, RELAYED = range(4)  # indices into the counters of a class
COUNTER_NAMES = ("fulfilled", "throttled", "faulted", "relayed")  # names of these counters in the telemetry
STATUS_OK = 200
THROTTLED_STATUSES = (429, 503)


class Metrics:
    """Counters by request class (named as on the wire), and counters of the whole process.

    A class keeps its counters after the settings have dropped it, up to `MAX_CLASSES` classes in all.

    >>> metrics = Metrics()
    >>> metrics.count_response(b"a", 200), metrics.count_response(b"a", 429), metrics.count_attempt(b"a")
    (None, None, None)
    >>> metrics.classes[b"a"], metrics.total(RELAYED)
    ([1, 1, 0, 1], 1)

    Attributes:
        classes: By class name, a counter for each of `COUNTER_NAMES`.
        open_requests: Requests that have not been answered yet.
        configs_accepted: Reloads that were applied.
        configs_rejected: Reloads that were rejected.
    """

    def __init__(self) -> None:
        self.classes: dict[bytes, list[int]] = {}
        self.open_requests = 0
        self.configs_accepted = 0
        self.configs_rejected = 0

    def set_active_classes(self, names: Collection[bytes]) -> None:
        """Include these classes, even at 0, and drop the oldest other ones while above `MAX_CLASSES`."""
        for name in names:
            self.classes.setdefault(name, [0] * len(COUNTER_NAMES))
        for name in list(self.classes):
            if len(self.classes) > MAX_CLASSES and name not in names:
                del self.classes[name]

    def count_response(self, name: bytes, status: int) -> None:
        """Count a response to a client as fulfilled, throttled or faulted, by its HTTP status."""
        counter = FULFILLED if status == STATUS_OK else THROTTLED if status in THROTTLED_STATUSES else FAULTED
        self.classes.setdefault(name, [0] * len(COUNTER_NAMES))[counter] += 1

    def count_attempt(self, name: bytes) -> None:
        """Count an attempt that was sent to an upstream."""
        self.classes.setdefault(name, [0] * len(COUNTER_NAMES))[RELAYED] += 1

    def total(self, counter: int) -> int:
        """Return the sum of one counter, given by its index, over all classes."""
        return sum(counts[counter] for counts in self.classes.values())

    def snapshot(self) -> dict[str, Any]:
        """Return all counters in the form of `/api/telemetry`."""
        return {
            "operations": dict(self._operations()),
            "relayed": self.total(RELAYED),
            "open_requests": self.open_requests,
            "cfg_accepted": self.configs_accepted,
            "cfg_invalid": self.configs_rejected,
        }

    def _operations(self) -> Iterable[tuple[str, dict[str, int]]]:
        for name, counts in self.classes.items():
            yield name.decode("utf-8", "replace"), dict(zip(COUNTER_NAMES, counts, strict=True))
