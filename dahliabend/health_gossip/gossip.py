"""The machine of signals: reports out to some others at each beat, theirs merged, and what is believed.

Feed it what ended, datagrams and the time; it leaves datagrams for members by name in `out`. Each beat its
own report and the newest of others go to a few members drawn anew: bounded in bytes whatever the fleet's
size. Told is what is bad, and what is well where another says that it is bad: in calm there is nothing to
tell.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from dahliabend.health_gossip.belief import Believed, Terms, believed
from dahliabend.health_gossip.board import MOST_COUNT, MOST_ROWS, Board, Parted, Report, Row
from dahliabend.health_gossip.seen import Seen
from dahliabend.leases.election import LeaseAnnouncement
from dahliabend.model import Outcome

MS = 1_000
BEAT = 500 * MS
WINDOW = 3_000 * MS  # what a report tells of, and how long it counts
FAN = 3  # members that a datagram goes to in each beat
ROOM = 1_200  # bytes of a datagram for reports
SPREAD = 2  # times that another's report is passed on from here

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[Report]).decode


def fitting(items: list) -> list:
    """The first ones, as many as half a datagram holds."""
    kept, room = [], ROOM // 2
    for item in items[:MOST_ROWS]:
        room -= len(_encode(item))
        if room < 0:
            break
        kept.append(item)
    return kept


class Gossip:
    def __init__(self, me: str, life: int, chance: Random, terms: Terms | None = None) -> None:
        self.me, self.life, self.chance, self.terms = me, life, chance, terms or Terms()
        self.seen: dict[str, Seen] = {}  # by pool
        self.board = Board(me, WINDOW)
        self.number = 0
        self.out: list[tuple[str, bytes]] = []  # member and datagram
        self.told: dict[tuple[str, str], int] = {}  # when a belief was last told to the decisions
        self.unread = self.believed = 0
        self.spoke = False  # did its last report say anything?
        self.turns: Callable[[int], list[LeaseAnnouncement]] | None = (
            None  # what it does in turn with others, to be told
        )
        self.heard: Callable[[int, LeaseAnnouncement], None] | None = None  # and who is told of theirs
        self.parts: Callable[[], list[Parted]] | None = None  # of limits that it shares
        self.parted: Callable[[int, str, Parted], None] | None = None

    # What comes in.

    def ended(self, now: int, pool: str, name: str, outcome: Outcome) -> None:
        self.seen.setdefault(pool, Seen(WINDOW)).ended(now, name, outcome)

    def received(self, now: int, data: bytes) -> None:
        """From a member; anything may stand in it."""
        try:
            reports = _decode(data)
        except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
            self.unread += 1
            return
        for report in reports[:MOST_ROWS]:
            news = self.board.merge(now, report)
            if news and self.heard is not None:
                for done in report.turns:
                    self.heard(now, msgspec.structs.replace(done, age=done.age + report.age))
            if news and self.parted is not None:
                for parted in report.parts:
                    self.parted(now - report.age * MS, report.origin, parted)

    # What goes out.

    def beat(self, now: int, members: Iterable[str]) -> None:
        others = [name for name in members if name != self.me]
        if not others:
            return
        mine = self.report(now)
        self.board.fresh(now)
        # The newest first: they have been passed on least, here and on their way.
        ordered = sorted(
            self.board.origins.values(), key=lambda held: (held.passed, held.report.hops, -held.since)
        )
        parts, room = [], ROOM
        for held in [None, *ordered]:
            if held is not None and held.passed >= SPREAD:
                continue
            report = mine if held is None else msgspec.structs.replace(
                held.report, age=(now - held.since) // MS, hops=held.report.hops + 1
            )  # fmt: skip
            if not (report.rows or report.turns or report.parts) and held is not None:
                continue
            packed = _encode(report)
            if len(packed) > room:
                continue
            room -= len(packed)
            parts.append(msgspec.Raw(packed))
            if held is not None:
                held.passed += 1
        if len(parts) == 1 and not (mine.rows or mine.turns or mine.parts or self.spoke):
            return  # nothing to tell, and nothing to take back
        self.spoke = bool(mine.rows)
        data = _encode(parts)
        for name in self.chance.sample(others, min(FAN, len(others))):
            self.out.append((name, data))

    def report(self, now: int) -> Report:
        """Of rows and turns as many each as half a datagram holds."""
        self.number += 1
        turns = fitting(self.turns(now)) if self.turns is not None else []
        shares = self.parts()[:MOST_ROWS] if self.parts is not None else []
        return Report(self.me, self.life, self.number, 0, 0, fitting(self.rows(now)), turns, shares)

    def rows(self, now: int) -> list[Row]:
        """What there is to tell, the most surprising first: what fails, then what there is most of."""
        doubted = {key for held in self.board.origins.values() for key, (_, bad) in held.rows.items() if bad}
        rows = [
            Row(pool, name, min(tried, MOST_COUNT), min(bad, MOST_COUNT))
            for pool, seen in self.seen.items()
            for name, (tried, bad) in seen.rows(now).items()
            if bad or (pool, name) in doubted
        ]
        rows.sort(key=lambda row: (-row.bad, -row.tried, row.name))
        return rows

    # What it is worth.

    def tell(
        self, now: int, pool: str, names: set[str], members: set[str], told: Callable[[str, int, int], None]
    ) -> list[Believed]:
        """Has the decisions of a pool told what is believed of the upstreams that they use, each once in a
        window. Gives what it told."""
        own = self.seen[pool].rows(now) if pool in self.seen else {}
        made = []
        for each in believed(self.terms, pool, names, self.board.fresh(now, members - {self.me}), own):
            key = pool, each.name
            if now - self.told.get(key, -WINDOW) >= WINDOW:
                self.told[key] = now
                told(each.name, each.tried, each.bad)
                made.append(each)
        self.believed += len(made)
        for key in [key for key, at in self.told.items() if now - at >= WINDOW]:
            del self.told[key]
        return made
