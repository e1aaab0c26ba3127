"""A divided limit: all of it used in calm, never more than a tenth above it, whatever is cut off."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.leases.shared_limits import (
    MIN_SHARE_FRACTION,
    OVERCOMMIT_LIMIT,
    STEP_INTERVAL,
    QuotaShare,
    divide_limit,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0, 1), min_size=1, max_size=12), st.floats(0.1, 1), st.floats(0, 0.02))
def test_what_is_asked_goes_round(asks, budget, floor):
    names = {f"b{n}": ask for n, ask in enumerate(asks)}
    made = divide_limit(names, budget, floor)
    assert sum(made.values()) == pytest.approx(budget)
    short = [name for name in made if made[name] < max(names[name], floor) - 1e-9]
    assert all(made[name] >= min(floor, budget / len(made)) - 1e-9 for name in made)
    assert len({round(made[name], 6) for name in short}) <= 1, (
        "those that get less than they ask get the same"
    )


class Town:
    """Shares that step each beat and hear each other a beat late; views follow cuts and ends as late as
    membership does."""

    def __init__(self, count: int, seed: int) -> None:
        self.chance, self.now, self.count = Random(seed), STEP_INTERVAL, count
        self.names = [f"b{n}" for n in range(count)]
        self.shares = {name: QuotaShare(name, count) for name in self.names}
        self.asks = {name: self.chance.uniform(0, 2 / count) for name in self.names}
        self.side = dict.fromkeys(self.names, 0)
        self.loss, self.worst = 0.0, 0.0
        self.sees(self.names, self.names, False)

    def sees(self, names, members, cut, left=()) -> None:
        for name in names:
            if name in self.shares:
                self.shares[name].update_members(members, left, cut)

    def run(self, beats: int) -> "Town":
        for _ in range(beats):
            self.now += STEP_INTERVAL
            said = []
            for name in self.chance.sample(list(self.shares), len(self.shares)):
                share = self.shares[name]
                share.step(self.now, self.asks[name])
                said.append((name, share.share, share.demand))
            self.worst = max(self.worst, self.total())
            for name, part, ask in said:
                for other, share in self.shares.items():
                    if self.side[name] == self.side[other] and self.chance.random() >= self.loss:
                        share.update_peer(self.now, name, part, ask)
        return self

    def total(self) -> float:
        return sum(share.share for share in self.shares.values())


@pytest.mark.parametrize("count", [2, 4, 8, 16])
def test_in_calm_the_whole_limit_is_used_and_by_those_that_ask(count):
    town = Town(count, count).run(40)
    assert 0.95 <= town.total() <= 1.0 + 1e-9
    town.asks = dict.fromkeys(town.names, 0.1 / count) | {"b0": 0.8}
    town.run(40)
    assert town.total() >= 0.95 and town.worst <= 1.0 + 1e-9
    assert town.shares["b0"].share >= 0.75
    assert all(share.share >= 0.9 * MIN_SHARE_FRACTION / count for share in town.shares.values())


def test_through_two_hundred_cuts_the_sum_is_never_above_a_tenth_more():
    for seed in range(200):
        chance = Random(f"cut {seed}")
        town = Town(chance.choice((2, 3, 4, 6, 8, 12)), seed)
        town.loss = chance.choice((0.0, 0.0, 0.2))
        for _ in range(3):
            town.asks = {name: chance.choice((0.0, 0.1, 0.5, 1.0)) for name in town.names}
            town.run(chance.randrange(10, 60))
            town.side = {name: chance.randrange(2) for name in town.names}
            sides = [[name for name in town.names if town.side[name] == side] for side in (0, 1)]
            town.run(chance.randrange(8, 20))  # membership sees it
            for side in sides:
                town.sees(side, side, cut=len(side) <= town.count * 2 / 3)
            town.run(chance.randrange(10, 60))
            town.side = dict.fromkeys(town.names, 0)
            town.run(chance.randrange(0, 8))
            for name in chance.sample(town.names, town.count):
                town.sees([name], town.names, cut=False)
                town.run(chance.randrange(0, 2))
        assert town.worst <= OVERCOMMIT_LIMIT + 1e-9, (seed, town.worst)


def test_a_death_gives_its_part_to_the_living_and_one_that_leaves_all_of_it():
    for left, least in (((), OVERCOMMIT_LIMIT - 1 / 8 - 0.05), (("b3",), 0.95)):
        town = Town(8, 1).run(40)
        del town.shares["b3"]
        town.run(10)
        town.sees(town.names, [name for name in town.names if name != "b3"], False, left)
        town.run(40)
        assert town.total() >= least


def test_a_fleet_that_grows_at_once_and_one_without_a_view():
    town = Town(16, 3)
    town.sees(town.names[:4], town.names[:4], False)
    alone = QuotaShare("b0", 8)
    assert alone.step(STEP_INTERVAL, 1.0) == 1 / 8
    town.run(60)
    assert town.worst <= OVERCOMMIT_LIMIT and town.total() >= 0.9


def test_a_limit_changed_in_half_of_the_fleet_is_divided_as_parts_of_each_ones_whole():
    town = Town(4, 5).run(40)
    wholes = {name: 100 if n % 2 else 200 for n, name in enumerate(town.names)}
    assert sum(share.share * wholes[name] for name, share in town.shares.items()) <= 200 * OVERCOMMIT_LIMIT


def test_what_no_member_says_is_not_taken():
    share = QuotaShare("me", 2)
    share.update_members({"me", "b"}, (), False)
    for part, ask in ((-1, 0), (2.0, 0), (0.1, -1), (float("nan"), 0)):
        share.update_peer(STEP_INTERVAL, "b", part, ask)
    assert not share.peers
