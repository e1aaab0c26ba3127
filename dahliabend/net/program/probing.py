"""Probing by turns: one of the balancers probes an upstream, the others hear what came of it.

Imported only where `[members]` has `probing`: nothing else pays for it.
"""

from collections.abc import Callable, Iterable
from functools import partial

from dahliabend.model import Outcome, State
from dahliabend.net.routing.router import Router, Seat
from dahliabend.net.routing.upstreams import Upstream
from dahliabend.net.transport.deadlines import clock
from dahliabend.turns.duties import Done, Duties, Turn

PATIENCE = 2  # periods that a result is waited for: then this one probes itself
SAID = frozenset(int(outcome) for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.MOOT))


class Probing:
    def __init__(self, me: str, period: int, log: Callable) -> None:
        self.duties, self.log = Duties(me, period), log
        self.places: dict[str, tuple[Router, Upstream]] = {}
        self.wanted: dict[str, tuple[int, Seat, int]] = {}  # since when, whose, and the upstream's index
        self.bad: dict[str, str] = {}  # whose word it was by which an upstream stayed out last
        self.held: dict[str, int] = {}  # by duty, the number under which this one does it
        self.probes = 0

    def want(self, pool: str, upstream: Upstream, seat: Seat) -> bool:
        """The decisions want one probed. False: nobody shares it, and it is theirs to do."""
        duty = f"probe {pool} {upstream.name}"
        if duty not in self.duties.known or len(self.duties.members) < 2:
            return False
        self.wanted.setdefault(duty, (clock(), seat, upstream.index))
        return True

    def beat(
        self, members: Iterable[tuple[str, str]], settled: bool, pools: list[tuple[str, Router]]
    ) -> None:
        now = clock()
        self.places = {
            f"probe {pool} {upstream.name}": (router, upstream)
            for pool, router in pools
            for upstream in router.yard.upstreams.values()
            if upstream.state is State.READY
        }
        self.duties.follow(now, members, settled)
        self.duties.are(now, {duty: upstream.zone for duty, (_, upstream) in self.places.items()})
        for turn in self.duties.wake(now):
            self.probe(turn.duty, partial(self.came, turn))
            if self.held.get(turn.duty) != turn.fence:
                self.held[turn.duty] = turn.fence
                self.log("duty", duty=turn.duty, fence=turn.fence, place=self.duties.place(turn.duty))
        self.serve(now)

    def probe(self, duty: str, told: Callable) -> None:
        router, upstream = self.places[duty]
        self.probes += 1
        router.seats[-1].sound(upstream, told)

    def came(self, turn: Turn, _: int, outcome: Outcome) -> None:
        self.duties.worked(clock(), turn, int(outcome))
        self.serve(clock())

    def heard(self, now: int, done: Done) -> None:
        if done.count and done.result not in SAID:
            self.duties.refused += 1
        else:
            self.duties.heard(now, done)

    def serve(self, now: int) -> None:
        """Tells the decisions what has come since they asked. One instance's word that an upstream is gone
        holds for one time: after that each looks itself, lest a broken one keep out what serves."""
        for duty, (since, seat, index) in list(self.wanted.items()):
            known = self.duties.known.get(duty)
            if known is None or duty not in self.places:
                del self.wanted[duty]
                continue
            if known.count and known.at >= since:
                del self.wanted[duty]
                outcome = Outcome(known.result)
                mine = known.owner == self.duties.me
                if outcome is not Outcome.COMMITTED and not mine and self.bad.get(duty) == known.owner:
                    del self.bad[duty]
                    self.probe(duty, seat.probed)
                    continue
                self.bad.pop(duty, None)
                if outcome is not Outcome.COMMITTED:
                    self.bad[duty] = known.owner
                seat.probed(index, outcome)
            elif now - since > PATIENCE * self.duties.period:
                del self.wanted[duty]
                self.probe(duty, seat.probed)
        for kept in (self.bad, self.held):
            for duty in [duty for duty in kept if duty not in self.places]:
                del kept[duty]

    def shown(self) -> dict:
        """Of each duty, who did it last, under which number and how long ago."""
        now, duties = clock(), self.duties
        rows = [
            {"duty": duty, "owner": k.owner, "fence": k.fence, "place": duties.place(duty),
             "age_ms": (now - k.at) // 1000 if k.count else None,
             "result": Outcome(k.result).name if k.count else ""}
            for duty, k in sorted(duties.known.items())
        ]  # fmt: skip
        return {
            "name": duties.me, "period_ms": duties.period // 1000, "settled": duties.settled, "duties": rows,
            "probes": self.probes, "refused": duties.refused,
        }  # fmt: skip
