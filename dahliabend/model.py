"""Plain types shared by the decisions and whatever protocol drives them. No I/O here.

All times are whole microseconds. Upstreams are small indices given out at the door.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Effect(IntEnum):
    """What a repeat of a transaction may do."""

    IDEMPOTENT = 0  # may run again
    JOURNALLED = 1  # carries a mark by which a repeat is known inside its group
    NON_IDEMPOTENT = 2  # must never run twice


class Group(IntEnum):
    """Which upstreams drop a journalled transaction's repeats."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How a hop or a probe ended."""

    COMMITTED = 1
    ERROR = 2  # the upstream's own error; it may have run
    FULL = 3  # turned away unseen
    TIMED_OUT = 4
    UNREACHABLE = 5  # no connection in time
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # never sent

    @property
    def proves_unrun(self) -> bool:
        return self in _UNRUN


_UNRUN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT})


class State(IntEnum):
    """What a list says of an upstream, or an operator."""

    GONE = 0
    READY = 1
    DRAINING = 2
    EXCLUDED = 3  # by an operator, whatever the list says


@dataclass(frozen=True, slots=True)
class Profile:
    effect: Effect
    group: Group
    repeat_window: int  # how long a group remembers a journalled transaction
    service_goal: int
    hard_limit: int
    revenue: float
    late_share: float  # of the revenue, for an answer after the service goal
    in_order: bool = False  # those of one key run one at a time, as taken
    hop_time: int = 0  # that one hop may take; 0: what is left
    most_hops: int = 0  # 0: as the settings say
    replays: int = -1  # hops after ones that may have run; -1: as many as the effect allows
    second_after: int = 0  # from a hop's sending until its handle is told that it is slow; 0: never


@dataclass(frozen=True, slots=True)
class Settings:
    balancers: int
    number: int  # of this balancer among them; -1: not told
    tier: int
    zone: int
    profiles: tuple[Profile, ...]
    allowances: tuple[float, ...]  # by customer: transactions a second, all balancers together
    excess_share: float  # of the revenue, beyond the allowance
    whole_weight: float  # what the whole run weighs in the operators' goal
    class_weight: float  # and what the worst-served profile weighs
    cross_zone_fee: float
    most_hops: int
    may_cancel: bool
    may_probe: bool
    advises: bool  # clients are handed a time to come back
    longest_advice: int
    ask_for_list: bool
    ask_within: int
    cold_share: float
    cold_time: int
    cold_multiple: float
    order_pause: int = 0  # a key rests this long after a hop that may go on
    drain_alone: bool = False  # only draining binds: one that is gone without it may still be sent to
    retry_share: float = 0.1  # of first hops: what may be spent on hops after one that may have run


class Port(Protocol):
    """What the decisions act through. `ref` is whatever the driver gave to `Balancer.take`."""

    def send(self, ref: int, upstream: int, timeout: int) -> None: ...
    def roll_back(self, ref: int, come_back_in: int) -> None: ...
    def abandon(self, ref: int) -> None: ...
    def cancel(self, ref: int, hop: int) -> None: ...
    def probe(self, upstream: int) -> None: ...
    def close_idle(self, upstream: int, age: int) -> None: ...  # those idle for longer, or all
    def wake(self, at: int, token: int) -> None: ...
    def ask_list(self) -> None: ...
    def tell(self, peer: int, text: bytes) -> None: ...
