"""What operators count by: raised where it happens, by the class's name, for as long as the process runs."""

MAX_CLASSES = 256  # names kept; files with ever new ones must not make this grow

FULFILLED, THROTTLED, FAULTED, RELAYED = range(4)
KINDS = ("fulfilled", "throttled", "faulted", "relayed")
_REFUSALS = (429, 503)


class Metrics:
    """Names come in as on the wire. One that settings drop keeps its counts.

    >>> metrics = Metrics()
    >>> metrics.count_response(b"a", 200), metrics.count_response(b"a", 429), metrics.count_attempt(b"a")
    (None, None, None)
    >>> metrics.classes[b"a"], metrics.total(RELAYED)
    ([1, 1, 0, 1], 1)
    """

    def __init__(self) -> None:
        self.classes: dict[bytes, list[int]] = {}
        self.open_requests = self.configs_accepted = self.configs_rejected = 0

    def set_active_classes(self, names) -> None:
        """These are in force: shown from now on, also at 0. Where there is no room the oldest others go."""
        for name in names:
            self.classes.setdefault(name, [0] * len(KINDS))
        for name in list(self.classes):
            if len(self.classes) > MAX_CLASSES and name not in names:
                del self.classes[name]

    def count_response(self, name: bytes, status: int) -> None:
        kind = FULFILLED if status == 200 else THROTTLED if status in _REFUSALS else FAULTED
        self.classes.setdefault(name, [0] * len(KINDS))[kind] += 1

    def count_attempt(self, name: bytes) -> None:
        self.classes.setdefault(name, [0] * len(KINDS))[RELAYED] += 1

    def total(self, kind: int) -> int:
        return sum(counts[kind] for counts in self.classes.values())

    def snapshot(self) -> dict:
        """By class, and the hops over all classes too."""
        return {
            "operations": {
                name.decode("utf-8", "replace"): dict(zip(KINDS, counts, strict=True))
                for name, counts in self.classes.items()
            },
            "relayed": self.total(RELAYED),
            "open_requests": self.open_requests,
            "cfg_accepted": self.configs_accepted,
            "cfg_invalid": self.configs_rejected,
        }
