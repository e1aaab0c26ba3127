"""A port that writes down what it is asked to do, and balancers in a wanted state."""

from dahliabend.decide import Balancer
from dahliabend.model import Effect, Group, Profile, Settings, State

MS, S = 1_000, 1_000_000
FREE = Profile(Effect.IDEMPOTENT, Group.ALL, 0, 2 * S, 5 * S, 1.0, 0.5)
MARKED = Profile(Effect.JOURNALLED, Group.CELL, 8 * S, 2 * S, 5 * S, 1.0, 0.5)
ONCE = Profile(Effect.NON_IDEMPOTENT, Group.ALL, 0, 2 * S, 5 * S, 1.0, 0.5)
BASE = dict(
    balancers=2, number=0, tier=0, zone=0, profiles=(FREE, MARKED, ONCE), allowances=(), excess_share=0.2,
    whole_weight=1.0, class_weight=0.0, cross_zone_fee=0.0, most_hops=3, may_cancel=True, may_probe=True,
    advises=True, longest_advice=S, ask_for_list=False, ask_within=10 * S, cold_share=0.2, cold_time=10 * S,
    cold_multiple=3.0,
)  # fmt: skip


class Notes(list):
    """Each action as (its name, its arguments)."""

    def __getattr__(self, name):
        return lambda *args: self.append((name, *args))

    def of(self, name):
        return [note for note in self if note[0] == name]


def balancer(upstreams=4, cells=2, born=0, now=100 * S, **changes):
    port = Notes()
    made = Balancer(Settings(**{**BASE, **changes}), port, 7)
    made.listed(
        now,
        [(n, State.READY, born, 1.0, n % cells, n % cells, b"%d" % n) for n in range(upstreams)],
        full=True,
    )
    return made, port


def taken(made, profile, now=100 * S, ref=1, **more):
    return made.take(now, ref, profile, 0, now + 5 * S, **more)
