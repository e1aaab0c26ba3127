"""What others tell of upstreams: merged in any order, weighed, never a command, bounded."""

from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.health_gossip.belief import Terms, believed
from dahliabend.health_gossip.board import Board, Report, Row
from dahliabend.health_gossip.gossip import BEAT, FAN, ROOM, WINDOW, Gossip
from dahliabend.health_gossip.seen import MOST, Seen
from dahliabend.model import Outcome

S = 1_000_000
NAMES = {f"u{n}" for n in range(12)}


def report(origin, number, *rows, life=1, age=0):
    return Report(origin, life, number, age, 0, [Row("main", name, tried, bad) for name, tried, bad in rows])


def told(reports, now=S, names=NAMES, own=None, terms=None):
    board = Board("me", WINDOW)
    for each in reports:
        board.merge(now, each)
    return {b.name: b for b in believed(terms or Terms(), "main", names, board.fresh(now), own or {})}


reports = st.lists(
    st.builds(
        report, st.sampled_from("abc"), st.integers(0, 4),
        st.tuples(st.sampled_from(("u1", "u2")), st.integers(1, 9), st.integers(0, 1)),
        life=st.integers(1, 2), age=st.integers(0, 400),
    ), max_size=12,
)  # fmt: skip


@settings(max_examples=200, deadline=None, derandomize=True)
@given(reports, st.randoms(use_true_random=False))
def test_order_and_repeats_of_datagrams_do_not_matter(made, chance):
    latest = {}
    for each in made:  # of one number an origin tells one thing
        latest.setdefault((each.origin, each.life, each.number), each)
    made = list(latest.values())
    one, other = Board("me", WINDOW), Board("me", WINDOW)
    shuffled = made + chance.sample(made, len(made) // 2)
    chance.shuffle(shuffled)
    for each in made:
        one.merge(S, each)
    for each in shuffled:
        other.merge(S, each)
    assert {n: h.report for n, h in one.origins.items()} == {n: h.report for n, h in other.origins.items()}


def test_one_origin_is_never_enough_and_several_that_agree_are():
    bad = [report(f"b{n}", 1, ("u1", 900, 900)) for n in range(3)]
    assert told(bad[:1]) == {} and told(bad[:2]) == {}
    assert told(bad)["u1"].bad == Terms().worth and told(bad)["u1"].origins == 3


def test_where_many_balance_more_have_to_agree():
    fleet = [report(f"b{n}", 1, ("u1", 2, 2) if n < 5 else ("u2", 2, 0)) for n in range(60)]
    assert told(fleet) == {}
    assert "u1" in told([report(f"b{n}", 1, ("u1", 2, 2) if n < 6 else ("u2", 2, 0)) for n in range(60)])


def test_own_hops_that_were_answered_go_before_what_others_say():
    """One that is bad for some balancers only stays in for those that it serves."""
    bad = [report(f"b{n}", 1, ("u1", 3, 3)) for n in range(5)]
    assert told(bad, own={"u1": (3, 1)}) == {}
    assert "u1" in told(bad, own={"u1": (3, 2)}) and "u1" in told(bad, own={"u2": (3, 0)})


def test_liars_that_tell_all_as_dead_are_outvoted_or_told_for_what_they_are():
    lies = [report(f"l{n}", 1, *((name, 900, 900) for name in sorted(NAMES))) for n in range(4)]
    assert told(lies) == {}, "so many at once are the tier's trouble, or a lie"
    one = [report(f"l{n}", 1, ("u1", 900, 900)) for n in range(3)]
    served = [report(f"b{n}", 1, ("u1", 3, 0)) for n in range(6)]
    assert told(one + served) == {}


def test_what_is_old_counts_no_more_and_a_former_life_says_nothing():
    board = Board("me", WINDOW)
    assert board.merge(S, report("a", 5, ("u1", 1, 1), life=2))
    assert not board.merge(S, report("a", 9, ("u1", 1, 1), life=1))
    assert not board.merge(S, report("b", 1, ("u1", 1, 1), age=WINDOW // 1000))
    assert set(board.fresh(S + WINDOW - 1)) == {"a"} and board.fresh(S + WINDOW) == {}
    assert board.merge(9 * S, report("a", 1, ("u1", 1, 1), life=1)), "forgotten, whatever its clock said"


def test_only_members_count():
    board = Board("me", WINDOW)
    board.merge(S, report("a", 1, ("u1", 1, 1)))
    assert set(board.fresh(S, {"a"})) == {"a"} and board.fresh(S, {"b"}) == {}


@pytest.mark.parametrize(
    "row", [("u1", 0, 0), ("u1", 1, 2), ("u1", 1, -1), ("u1", 10**9, 1), ("u" * 65, 1, 1)]
)
def test_what_no_balancer_says_is_refused(row):
    board = Board("me", WINDOW)
    assert not board.merge(S, report("a", 1, row)) and board.refused == 1


def test_seen_forgets_and_is_bounded():
    seen = Seen(WINDOW)
    for n in range(1000):
        seen.ended(S + n, "u1", Outcome.FAILED if n % 2 else Outcome.SUCCEEDED)
        seen.ended(S + n, "u2", Outcome.REJECTED)
    assert seen.rows(S + 1000) == {"u1": (MOST, MOST // 2)}
    assert seen.rows(S + 2 * WINDOW) == {} and not seen.ends


def fleet(count):
    return {f"b{n}": Gossip(f"b{n}", 1, Random(n)) for n in range(count)}


def beats(machines, now, times, drop=lambda source, target: False):
    sent = 0
    for beat in range(times):
        for name, machine in machines.items():
            machine.beat(now + beat * BEAT, machines)
            out, machine.out = machine.out, []
            for target, data in out:
                sent += len(data)
                assert len(data) <= ROOM + 50
                if not drop(name, target):
                    machines[target].received(now + beat * BEAT, data)
    return sent


def test_in_calm_nothing_is_sent_and_what_fails_is_known_to_all_within_a_window():
    machines = fleet(20)
    for machine in machines.values():
        machine.ended(S, "main", "u5", Outcome.SUCCEEDED)
    assert beats(machines, S, 4) == 0
    for name in ("b1", "b2", "b3"):
        machines[name].ended(4 * S, "main", "u1", Outcome.RESET)
    sent = beats(machines, 4 * S, 4)
    assert 0 < sent <= 20 * 4 * FAN * ROOM
    for name, machine in machines.items():
        found = []
        machine.tell(6 * S, "main", NAMES, set(machines), lambda *row, found=found: found.append(row))
        assert found == [("u1", 5, 5)] or name in ("b1", "b2", "b3")
        machine.tell(6 * S, "main", NAMES, set(machines), lambda *row, found=found: found.append(row))
        assert len(found) <= 1, "told once in a window"


def test_where_one_is_said_to_be_bad_those_that_it_serves_say_so():
    machines = fleet(12)
    for name, machine in machines.items():
        outcome = Outcome.TIMED_OUT if name in ("b1", "b2", "b3") else Outcome.SUCCEEDED
        for _ in range(3):
            machine.ended(S, "main", "u1", outcome)
    beats(machines, S, 4)
    found = []
    machines["b0"].seen.clear()
    machines["b0"].tell(3 * S, "main", NAMES, set(machines), lambda *row: found.append(row))
    assert found == []


def test_three_in_ten_lost_on_the_way_and_it_is_known_all_the_same():
    machines, chance = fleet(20), Random(4)
    for name in ("b1", "b2", "b3", "b4"):
        machines[name].ended(S, "main", "u1", Outcome.RESET)
    beats(machines, S, 5, lambda *_: chance.random() < 0.3)
    knowing = 0
    for machine in machines.values():
        knowing += bool(machine.tell(3 * S + 1, "main", NAMES, set(machines), lambda *_: None))
    assert knowing >= 15


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1400))
def test_anything_may_stand_in_a_datagram(data):
    machine = Gossip("me", 1, Random(1))
    machine.received(S, data)
    machine.received(S, msgspec.msgpack.encode([report("a", 1, ("u1", 1, 1))]))
    machine.beat(S, ["me", "b"])
    assert len(machine.board.origins) <= 65 and len(machine.out) <= 1


def test_the_decisions_set_aside_by_what_they_were_told_as_by_own_hops():
    from dahliabend.model import EndpointState
    from dahliabend.policy.balancer import FLOOR, WINDOW, Balancer
    from dahliabend.simulation.cluster.script import Fleet
    from dahliabend.simulation.cluster.work import Work

    port = SimpleNamespace(set_timer=lambda *_: None, check_health=lambda *_: None)
    made = Balancer(Work(Fleet(instances=1), 1).settings(), port, 1)
    made.update_endpoints(S, [(n, EndpointState.READY, 0, 1.0, 0, 0, b"u%d" % n) for n in range(3)], True)
    made.add_peer_report(1, FLOOR, FLOOR)
    made.add_peer_report(7, FLOOR, FLOOR)  # not listed any more
    for beat in range(WINDOW):
        made.timer_fired(S + (beat + 1) * made.beat, 0)
    assert [u.ejected for _, u in sorted(made.upstreams.items())] == [False, True, False]
