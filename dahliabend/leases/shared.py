"""Probing shared by turns: one instance probes an upstream, the others' decisions are told what came of it.

Free of I/O: `probe(duty, told)` has a duty's upstream probed, and `told(now, outcome)` called with what came
of it, later. Duties are named by whoever drives this.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from dahliabend.leases.duties import Done, Duties, Turn
from dahliabend.model import Outcome

PATIENCE = 2  # periods that a result is waited for: then this one probes itself
SAID = frozenset(int(outcome) for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT))
Told = Callable[[int, Outcome], None]


class Shared:
    def __init__(self, me: str, period: int, probe: Callable[[str, Told], None], log: Callable) -> None:
        self.duties, self.probe, self.log = Duties(me, period), probe, log
        self.wanted: dict[str, tuple[int, Told]] = {}  # since when, and who is told
        self.bad: dict[str, str] = {}  # whose word it was by which an upstream stayed out last
        self.held: dict[str, int] = {}  # by duty, the number under which this one does it
        self.probes = 0

    def want(self, now: int, duty: str, told: Told) -> bool:
        """The decisions want one probed. False: nobody shares it, and it is theirs to do."""
        if duty not in self.duties.known or len(self.duties.members) < 2:
            return False
        self.wanted.setdefault(duty, (now, told))
        return True

    def beat(
        self, now: int, members: Iterable[tuple[str, str]], settled: bool, duties: Mapping[str, str]
    ) -> None:
        """`duties`: all that there are, with their zones; the rest as `Duties.follow` has it."""
        self.duties.follow(now, members, settled)
        self.duties.are(now, duties)
        for turn in self.duties.wake(now):
            self.look(turn.duty, partial(self.came, turn))
            if self.held.get(turn.duty) != turn.fence:
                self.held[turn.duty] = turn.fence
                self.log("duty", duty=turn.duty, fence=turn.fence, place=self.duties.place(turn.duty))
        self.serve(now)
        for kept in (self.wanted, self.bad, self.held):
            for duty in [duty for duty in kept if duty not in self.duties.known]:
                del kept[duty]

    def look(self, duty: str, told: Told) -> None:
        self.probes += 1
        self.probe(duty, told)

    def came(self, turn: Turn, now: int, outcome: Outcome) -> None:
        self.duties.worked(now, turn, int(outcome))
        self.serve(now)

    def heard(self, now: int, done: Done) -> None:
        if done.count and done.result not in SAID:
            self.duties.refused += 1
        else:
            self.duties.heard(now, done)

    def serve(self, now: int) -> None:
        """Tells the decisions what has come since they asked. One instance's word that an upstream is gone
        holds for one time: after that each looks itself, lest a broken one keep out what serves."""
        for duty, (since, told) in list(self.wanted.items()):
            known = self.duties.known.get(duty)
            if known is None:
                del self.wanted[duty]
            elif known.count and known.at >= since:
                del self.wanted[duty]
                outcome, before = Outcome(known.result), self.bad.pop(duty, None)
                failed = outcome is not Outcome.SUCCEEDED and known.owner != self.duties.me
                if failed and before == known.owner:
                    self.look(duty, told)
                    continue
                if failed:
                    self.bad[duty] = known.owner
                told(now, outcome)
            elif now - since > PATIENCE * self.duties.period:
                del self.wanted[duty]
                self.look(duty, told)
