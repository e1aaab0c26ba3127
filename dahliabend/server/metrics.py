"""What operators count by: raised where it happens, by the class's name, for as long as the process runs."""

MOST = 256  # names kept; files with ever new ones must not make this grow

FULFILLED, THROTTLED, FAULTED, RELAYED = range(4)
KINDS = ("fulfilled", "throttled", "faulted", "relayed")
_REFUSALS = (429, 503)


class Figures:
    """Names come in as on the wire. One that settings drop keeps its counts.

    >>> figures = Figures()
    >>> figures.answered(b"a", 200), figures.answered(b"a", 429), figures.relayed(b"a")
    (None, None, None)
    >>> figures.classes[b"a"], figures.total(RELAYED)
    ([1, 1, 0, 1], 1)
    """

    def __init__(self) -> None:
        self.classes: dict[bytes, list[int]] = {}
        self.open = self.accepted = self.invalid = 0

    def know(self, names) -> None:
        """These are in force: shown from now on, also at 0. Where there is no room the oldest others go."""
        for name in names:
            self.classes.setdefault(name, [0] * len(KINDS))
        for name in list(self.classes):
            if len(self.classes) > MOST and name not in names:
                del self.classes[name]

    def answered(self, name: bytes, status: int) -> None:
        kind = FULFILLED if status == 200 else THROTTLED if status in _REFUSALS else FAULTED
        self.classes.setdefault(name, [0] * len(KINDS))[kind] += 1

    def relayed(self, name: bytes) -> None:
        self.classes.setdefault(name, [0] * len(KINDS))[RELAYED] += 1

    def total(self, kind: int) -> int:
        return sum(counts[kind] for counts in self.classes.values())

    def shown(self) -> dict:
        """By class, and the hops over all classes too."""
        return {
            "operations": {
                name.decode("utf-8", "replace"): dict(zip(KINDS, counts, strict=True))
                for name, counts in self.classes.items()
            },
            "relayed": self.total(RELAYED),
            "open_requests": self.open,
            "cfg_accepted": self.accepted,
            "cfg_invalid": self.invalid,
        }
