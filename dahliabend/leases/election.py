"""Periodic duties: each done about once a period by one of the members, taken over within one period.

What was done is told with its fencing number, and telling is what renews the lease: a later number outdoes
an earlier one, and of one number only its owner's counts. Who comes next in the order claims the next number
a while before its turn, and works only if nobody has outdone the claim by then. After a pause, or while the
view is not settled, nothing is done: what the others did meanwhile is heard first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

import msgspec

from dahliabend.leases.candidate_order import rank_candidates

# Periods after the last time: the turns of the owner, of the next, and so on. Between one's turn and the next
# one's claim what was done has to come round, else the claim would outdo it.
RUN_DELAYS = (1.0, 1.5, 1.9, 2.3)
CLAIM_LEAD = 1 / 5  # of a period: how long before its turn one that does not hold the lease claims it
# Another's claim is not outdone for so long, of a period: where all are overdue at once, two would outdo each
# other for ever, and nobody would do it.
CLAIM_GRACE = 1 / 2
LISTEN_TIME = (
    3 / 10
)  # of a period: how long the others are heard first, after a pause: longer than a word's way
PAUSE_THRESHOLD = 1 / 4  # of a period: a waking later than that is a pause
TOKEN_SUFFIX_BITS = 16  # bits of a number that are its taker's own
MAX_TASKS = 4_096  # duties known at the most
MS = 1_000


class LeaseAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """Of one duty. `count` 0: claimed, not done yet. `age` in milliseconds, when this was told. `result` is
    the duty's own."""

    task: str
    fencing_token: int
    holder: str
    completed_runs: int
    age_ms: int
    result: int = 0

    @property
    def is_valid(self) -> bool:
        return (
            min(self.fencing_token, self.completed_runs, self.age_ms) >= 0
            and max(self.fencing_token, self.completed_runs, self.age_ms, abs(self.result)) < 1 << 53
            and 0 < len(self.task) <= 160
            and 0 < len(self.holder) <= 64
        )


@dataclass(slots=True)
class Lease:
    fencing_token: int
    holder: str
    completed_runs: int
    last_run_at: int  # when it was done last, whoever did it, or when its time began
    result: int = 0
    heard_at: int = 0  # when that was heard here


@dataclass(frozen=True, slots=True)
class DueTask:
    """To be done now."""

    task: str
    fencing_token: int


class LeaseElection:
    """`period` in microseconds. Names are of members."""

    def __init__(self, me: str, period: int) -> None:
        self.own_name, self.period = me, period
        self.task_zones: dict[str, str] = {}  # by duty
        self.leases: dict[str, Lease] = {}
        self.members: tuple[tuple[str, str], ...] = ()
        self.ranks: dict[str, int] = {}  # by duty, this one's in the order
        self.view_settled = False
        self.last_tick_at = self.quiet_until = 0
        self.rejected = 0

    # What is told.

    def update_members(self, now: int, members: Iterable[tuple[str, str]], settled: bool) -> None:
        """The last settled view, pairs of name and zone, and whether it may be gone by now: not before this
        one has heard anybody since it began or paused."""
        told = tuple(sorted(members))
        if told != self.members:
            self.members = told
            self.ranks.clear()
        if settled and not self.view_settled:
            self.enter_quiet_period(now)
        self.view_settled = settled

    def update_tasks(self, now: int, duties: Mapping[str, str]) -> None:
        """All that there are, and the zone of each."""
        if duties == self.task_zones:
            return
        self.task_zones = dict(duties)
        self.ranks.clear()
        for task in [task for task in self.leases if task not in duties]:
            del self.leases[task]
        for task in duties:
            if task not in self.leases and len(self.leases) < MAX_TASKS:
                self.leases[task] = Lease(0, "", 0, now)

    def apply_announcement(self, now: int, done: LeaseAnnouncement) -> bool:
        """Is it news? A duty that is not known here is the sender's own matter."""
        known = self.leases.get(done.task)
        if not done.is_valid:
            self.rejected += 1
            return False
        if known is None or done.holder == self.own_name:
            return False
        if (done.fencing_token, done.holder, done.completed_runs) <= (
            known.fencing_token,
            known.holder,
            known.completed_runs,
        ):
            return False
        known.fencing_token, known.holder, known.completed_runs, known.heard_at = (
            done.fencing_token,
            done.holder,
            done.completed_runs,
            now,
        )
        if done.completed_runs:
            # Never later than now, and never back: a clock elsewhere is not asked, ages are.
            known.last_run_at, known.result = max(known.last_run_at, now - done.age_ms * MS), done.result
        return True

    def next_fencing_token(self, fencing_token: int) -> int:
        """The next number, and no other instance's: two that claim at once must not both work under it."""
        return (fencing_token >> TOKEN_SUFFIX_BITS) + 1 << TOKEN_SUFFIX_BITS | crc32(
            self.own_name.encode()
        ) % (1 << TOKEN_SUFFIX_BITS)

    def enter_quiet_period(self, now: int) -> None:
        """Stopped with a lease in hand: another may have it by now, its telling unread or still on its way.
        It claims anew, like anybody, and only after a while."""
        self.quiet_until = max(self.quiet_until, now + round(LISTEN_TIME * self.period))
        for known in self.leases.values():
            if known.holder == self.own_name:
                known.holder = ""

    # What is to be done.

    def rank(self, task: str) -> int:
        """0: its owner; -1: not among those counted in."""
        if task not in self.ranks:
            names = rank_candidates(task, self.members, self.task_zones.get(task, ""))
            self.ranks[task] = names.index(self.own_name) if self.own_name in names else -1
        return self.ranks[task]

    def tick(self, now: int) -> list[DueTask]:
        """Those whose turn it is; each is to be told of with `worked`."""
        if self.last_tick_at and now - self.last_tick_at > PAUSE_THRESHOLD * self.period:
            self.enter_quiet_period(now)
        self.last_tick_at = now
        if not self.view_settled or now < self.quiet_until:
            return []
        made = []
        for task, known in self.leases.items():
            place = self.rank(task)
            if place < 0:
                continue
            due = known.last_run_at + round(RUN_DELAYS[min(place, len(RUN_DELAYS) - 1)] * self.period)
            if known.holder != self.own_name:
                claimed = (
                    known.holder
                    and not known.completed_runs
                    and now - known.heard_at < CLAIM_GRACE * self.period
                )
                if now >= due - CLAIM_LEAD * self.period and not claimed:
                    known.fencing_token, known.holder = (
                        self.next_fencing_token(known.fencing_token),
                        self.own_name,
                    )
                    known.completed_runs, known.heard_at = 0, now
                continue  # not before the claim has been out for a while
            if now >= due and (known.completed_runs or now - known.heard_at >= CLAIM_LEAD * self.period / 2):
                made.append(DueTask(task, known.fencing_token))
        return made

    def complete(self, now: int, due: DueTask, result: int) -> bool:
        """Done, with what came of it. False: it was outdone meanwhile, and counts for nothing."""
        known = self.leases.get(due.task)
        if known is None or (known.fencing_token, known.holder) != (due.fencing_token, self.own_name):
            return False
        known.completed_runs, known.last_run_at, known.result = known.completed_runs + 1, now, result
        return True

    def announcements(self, now: int) -> list[LeaseAnnouncement]:
        """Of those that this one holds or claims, the newest first."""
        mine = [(task, known) for task, known in self.leases.items() if known.holder == self.own_name]
        mine.sort(key=lambda each: (-each[1].last_run_at, each[0]))
        return [
            LeaseAnnouncement(
                task, k.fencing_token, k.holder, k.completed_runs, max(0, now - k.last_run_at) // MS, k.result
            )
            for task, k in mine
        ]
