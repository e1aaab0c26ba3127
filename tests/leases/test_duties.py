"""Duties: about once a period, by one at a time, taken over, and never twice under one fencing number."""

from random import Random

import pytest

from dahliabend.leases.candidate_order import rank_candidates
from dahliabend.leases.election import TOKEN_SUFFIX_BITS, LeaseAnnouncement, LeaseElection

MS, S = 1_000, 1_000_000
PERIOD = 4 * S
TICK = 250 * MS
TASKS = {f"probe u{n}": "" for n in range(12)}


class Town:
    """Instances that wake every quarter of a second and tell each other all, half a second late."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now, self.chance = S, Random(seed)
        self.names = [f"b{n}" for n in range(count)]
        self.machines = {name: self.begin(name) for name in self.names}
        self.views = {name: list(self.names) for name in self.names}
        self.mail: list[tuple[int, str, list[LeaseAnnouncement]]] = []
        self.away: set[str] = set()  # stopped
        self.cut: set[tuple[str, str]] = set()
        self.loss, self.way = 0.0, 2 * TICK
        self.done: list[tuple[int, str, str, int]] = []  # at, who, duty, fence

    def begin(self, name: str) -> LeaseElection:
        made = LeaseElection(name, PERIOD)
        made.update_tasks(self.now, TASKS)
        return made

    def run(self, span: int) -> "Town":
        end = self.now + span
        while self.now < end:
            self.now += TICK
            due, self.mail = (
                [m for m in self.mail if m[0] <= self.now],
                [m for m in self.mail if m[0] > self.now],
            )
            for at, name, said in due:
                if name in self.away:
                    self.mail.append((at + TICK, name, said))
                elif name in self.machines:
                    for each in said:
                        aged = LeaseAnnouncement(
                            each.task,
                            each.fencing_token,
                            each.holder,
                            each.completed_runs,
                            each.age_ms + self.way // MS,
                            1,
                        )
                        self.machines[name].apply_announcement(self.now, aged)
            for name, machine in self.machines.items():
                if name in self.away:
                    continue
                machine.update_members(self.now, [(other, "") for other in self.views[name]], True)
                for due in machine.tick(self.now):
                    self.done.append((self.now, name, due.task, due.fencing_token))
                    machine.complete(self.now, due, 1)
                for other in self.machines:
                    if (name, other) not in self.cut and self.chance.random() >= self.loss:
                        self.mail.append((self.now + self.way, other, machine.announcements(self.now)))
        return self

    def times(self, task: str, since: int = 0) -> list[int]:
        return [at for at, _, what, _ in self.done if what == task and at >= since]

    def check(self, since: int, gap: float = 2.0) -> None:
        """Never more than twice in a period, no gap over two; one who does it under a number."""
        for task in TASKS:
            times = self.times(task, since)
            assert all(sum(at <= t < at + PERIOD for t in times) <= 2 for at in times), task
            spans = zip([since, *times], [*times, self.now], strict=True)
            assert all(b - a <= gap * PERIOD for a, b in spans), (task, times)
        if not self.cut and not self.loss:
            self.check_fences()

    def check_fences(self) -> None:
        """Without a cut a number is one instance's."""
        by_number = {}
        for _, who, task, fencing_token in self.done:
            by_number.setdefault((task, fencing_token), set()).add(who)
        assert all(len(each) == 1 for each in by_number.values())


def test_in_calm_each_is_done_once_a_period_by_its_owner():
    town = Town(4).run(60 * S)
    town.check(20 * S)
    for task in TASKS:
        holder = rank_candidates(task, [(name, "") for name in town.names])[0]
        assert {who for at, who, what, _ in town.done if what == task and at > 20 * S} == {holder}
        assert 8 <= len(town.times(task, 20 * S)) <= 11


@pytest.mark.parametrize("seed", range(4))
def test_one_killed_every_minute_and_none_is_left_undone(seed):
    town = Town(4, seed).run(20 * S)
    begin = town.now
    for round_ in range(10):
        lost = town.names[round_ % 4]
        del town.machines[lost]
        town.run(8 * S)  # its end is seen late
        for name in town.machines:
            town.views[name] = [other for other in town.names if other != lost]
        town.run(22 * S)
        town.machines[lost] = town.begin(lost)
        for name in town.machines:
            town.views[name] = list(town.names)
        town.run(30 * S)
    town.check(begin)


def test_an_owner_that_wakes_with_its_lease_in_hand_does_nothing_before_it_has_heard():
    town = Town(4).run(20 * S)
    begin = town.now
    town.away = {"b1"}
    town.run(21 * S)
    mine = [task for task, known in town.machines["b1"].leases.items() if known.holder == "b1"]
    assert mine
    woke = town.now
    town.away = set()
    town.run(PERIOD)
    first = min((at for at, who, _, _ in town.done if who == "b1" and at > woke), default=town.now)
    assert first - woke >= PERIOD // 4
    town.run(20 * S)
    town.check(begin)


def test_owner_and_its_successor_end_within_one_period():
    town = Town(5).run(20 * S)
    begin = town.now
    task = "probe u3"
    for name in rank_candidates(task, [(name, "") for name in town.names])[:2]:
        del town.machines[name]
    town.run(20 * S)
    town.check(begin)
    assert len(town.times(task, begin)) >= 2


def test_a_cut_in_which_one_side_holds_all_owners_and_its_end():
    town = Town(4).run(20 * S)
    sides = town.names[:2], town.names[2:]
    town.cut = {(a, b) for a in sides[0] for b in sides[1]} | {(b, a) for a in sides[0] for b in sides[1]}
    town.run(10 * S)
    for side in sides:
        for name in side:
            town.views[name] = list(side)
    begin = town.now
    town.run(20 * S)
    for side in sides:  # each goes on for itself
        for task in TASKS:
            times = [at for at, who, what, _ in town.done if what == task and who in side and at >= begin]
            assert len(times) >= 4
    town.cut = set()
    town.views = {name: list(town.names) for name in town.names}
    town.run(12 * S)
    begin = town.now
    town.run(30 * S)
    for task in TASKS:  # one of them alone once it has healed
        assert len({who for at, who, what, _ in town.done if what == task and at >= begin}) == 1


def test_a_third_of_what_is_told_is_lost():
    town = Town(4)
    town.loss = 0.3
    town.run(20 * S)
    begin = town.now
    town.run(60 * S)
    town.check(begin)


def test_one_way_cut_off_from_one_is_outdone_through_no_fault():
    town = Town(4).run(20 * S)
    begin = town.now
    town.cut = {("b0", "b1")}
    town.run(40 * S)
    for task in TASKS:
        times = town.times(task, begin)
        spans = zip([begin, *times], [*times, town.now], strict=True)
        assert all(b - a <= 2 * PERIOD for a, b in spans)


def test_what_is_older_or_unsound_or_unknown_is_no_news():
    made = LeaseElection("me", PERIOD)
    made.update_tasks(S, {"d": ""})
    assert made.apply_announcement(2 * S, LeaseAnnouncement("d", 3, "b", 2, 0))
    for late in (
        LeaseAnnouncement("d", 3, "b", 2, 0),
        LeaseAnnouncement("d", 3, "a", 9, 0),
        LeaseAnnouncement("d", 2, "z", 9, 0),
        LeaseAnnouncement("d", 9, "me", 1, 0),
    ):
        assert not made.apply_announcement(2 * S, late)
    assert not made.apply_announcement(2 * S, LeaseAnnouncement("d", -1, "b", 2, 0)) and made.rejected == 1
    assert not made.apply_announcement(2 * S, LeaseAnnouncement("other", 1, "b", 1, 0)) and set(
        made.leases
    ) == {"d"}
    assert (
        made.apply_announcement(2 * S, LeaseAnnouncement("d", 3, "c", 1, 10**9))
        and made.leases["d"].last_run_at == 2 * S
    ), "a time does not go back"


def test_own_zone_comes_first():
    members = [(f"b{n}", "ab"[n % 2]) for n in range(8)]
    assert all(dict(members)[rank_candidates(f"d{n}", members, "b")[0]] == "b" for n in range(20))


def test_all_overdue_at_once_do_not_outdo_each_other_for_ever():
    """Two that claim in turn, each before it has heard of the other, would never do it."""
    town = Town(4).run(20 * S)
    town.way = TICK
    town.views = {name: [] for name in town.names}  # nobody knows anybody: all stop
    town.run(30 * S)
    begin = town.now
    town.views = {name: list(town.names) for name in town.names}
    town.run(30 * S)
    for task in TASKS:
        times = town.times(task, begin)
        assert (
            times[0] - begin <= PERIOD
            and max(b - a for a, b in zip(times, [*times[1:], town.now], strict=True)) <= 2 * PERIOD
        )
    assert max(known.fencing_token >> TOKEN_SUFFIX_BITS for known in town.machines["b0"].leases.values()) < 20
