"""What others tell of upstreams: merged in any order, weighed, never a command, bounded."""

from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.health_gossip.aggregation import QuorumSettings, aggregate
from dahliabend.health_gossip.gossip import (
    FANOUT,
    GOSSIP_INTERVAL,
    MAX_DATAGRAM_BYTES,
    REPORT_WINDOW,
    HealthGossip,
)
from dahliabend.health_gossip.local_observations import MAX_SAMPLES, LocalObservations
from dahliabend.health_gossip.report_table import HealthReport, ReportTable, UpstreamCounts
from dahliabend.model import Outcome

S = 1_000_000
NAMES = {f"u{n}" for n in range(12)}


def report(origin, number, *rows, generation=1, age_ms=0):
    return HealthReport(
        origin,
        generation,
        number,
        age_ms,
        0,
        [UpstreamCounts("main", name, attempts, bad) for name, attempts, bad in rows],
    )


def told(reports, now=S, names=NAMES, own=None, terms=None):
    board = ReportTable("me", REPORT_WINDOW)
    for each in reports:
        board.merge(now, each)
    return {
        b.upstream: b
        for b in aggregate(terms or QuorumSettings(), "main", names, board.fresh(now), own or {})
    }


reports = st.lists(
    st.builds(
        report, st.sampled_from("abc"), st.integers(0, 4),
        st.tuples(st.sampled_from(("u1", "u2")), st.integers(1, 9), st.integers(0, 1)),
        generation=st.integers(1, 2), age_ms=st.integers(0, 400),
    ), max_size=12,
)  # fmt: skip


@settings(max_examples=200, deadline=None, derandomize=True)
@given(reports, st.randoms(use_true_random=False))
def test_order_and_repeats_of_datagrams_do_not_matter(made, chance):
    latest = {}
    for each in made:  # of one number an origin tells one thing
        latest.setdefault((each.origin, each.generation, each.sequence), each)
    made = list(latest.values())
    one, other = ReportTable("me", REPORT_WINDOW), ReportTable("me", REPORT_WINDOW)
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
    assert told(bad)["u1"].failures == QuorumSettings().evidence_attempts and told(bad)["u1"].origins == 3


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
    board = ReportTable("me", REPORT_WINDOW)
    assert board.merge(S, report("a", 5, ("u1", 1, 1), generation=2))
    assert not board.merge(S, report("a", 9, ("u1", 1, 1), generation=1))
    assert not board.merge(S, report("b", 1, ("u1", 1, 1), age_ms=REPORT_WINDOW // 1000))
    assert set(board.fresh(S + REPORT_WINDOW - 1)) == {"a"} and board.fresh(S + REPORT_WINDOW) == {}
    assert board.merge(9 * S, report("a", 1, ("u1", 1, 1), generation=1)), (
        "forgotten, whatever its clock said"
    )


def test_only_members_count():
    board = ReportTable("me", REPORT_WINDOW)
    board.merge(S, report("a", 1, ("u1", 1, 1)))
    assert set(board.fresh(S, {"a"})) == {"a"} and board.fresh(S, {"b"}) == {}


@pytest.mark.parametrize(
    "row", [("u1", 0, 0), ("u1", 1, 2), ("u1", 1, -1), ("u1", 10**9, 1), ("u" * 65, 1, 1)]
)
def test_what_no_balancer_says_is_refused(row):
    board = ReportTable("me", REPORT_WINDOW)
    assert not board.merge(S, report("a", 1, row)) and board.rejected == 1


def test_seen_forgets_and_is_bounded():
    seen = LocalObservations(REPORT_WINDOW)
    for n in range(1000):
        seen.record_outcome(S + n, "u1", Outcome.FAILED if n % 2 else Outcome.SUCCEEDED)
        seen.record_outcome(S + n, "u2", Outcome.REJECTED)
    assert seen.counts(S + 1000) == {"u1": (MAX_SAMPLES, MAX_SAMPLES // 2)}
    assert seen.counts(S + 2 * REPORT_WINDOW) == {} and not seen.samples


def fleet(count):
    return {f"b{n}": HealthGossip(f"b{n}", 1, Random(n)) for n in range(count)}


def beats(machines, now, times, drop=lambda source, target: False):
    sent = 0
    for beat in range(times):
        for name, machine in machines.items():
            machine.tick(now + beat * GOSSIP_INTERVAL, machines)
            out, machine.outbox = machine.outbox, []
            for target, data in out:
                sent += len(data)
                assert len(data) <= MAX_DATAGRAM_BYTES + 50
                if not drop(name, target):
                    machines[target].receive(now + beat * GOSSIP_INTERVAL, data)
    return sent


def test_in_calm_nothing_is_sent_and_what_fails_is_known_to_all_within_a_window():
    machines = fleet(20)
    for machine in machines.values():
        machine.record_outcome(S, "main", "u5", Outcome.SUCCEEDED)
    assert beats(machines, S, 4) == 0
    for name in ("b1", "b2", "b3"):
        machines[name].record_outcome(4 * S, "main", "u1", Outcome.RESET)
    sent = beats(machines, 4 * S, 4)
    assert 0 < sent <= 20 * 4 * FANOUT * MAX_DATAGRAM_BYTES
    for name, machine in machines.items():
        found = []
        machine.report_suspected(
            6 * S, "main", NAMES, set(machines), lambda *row, found=found: found.append(row)
        )
        assert found == [("u1", 5, 5)] or name in ("b1", "b2", "b3")
        machine.report_suspected(
            6 * S, "main", NAMES, set(machines), lambda *row, found=found: found.append(row)
        )
        assert len(found) <= 1, "told once in a window"


def test_where_one_is_said_to_be_bad_those_that_it_serves_say_so():
    machines = fleet(12)
    for name, machine in machines.items():
        outcome = Outcome.TIMED_OUT if name in ("b1", "b2", "b3") else Outcome.SUCCEEDED
        for _ in range(3):
            machine.record_outcome(S, "main", "u1", outcome)
    beats(machines, S, 4)
    found = []
    machines["b0"].observations.clear()
    machines["b0"].report_suspected(3 * S, "main", NAMES, set(machines), lambda *row: found.append(row))
    assert found == []


def test_three_in_ten_lost_on_the_way_and_it_is_known_all_the_same():
    machines, chance = fleet(20), Random(4)
    for name in ("b1", "b2", "b3", "b4"):
        machines[name].record_outcome(S, "main", "u1", Outcome.RESET)
    beats(machines, S, 5, lambda *_: chance.random() < 0.3)
    knowing = 0
    for machine in machines.values():
        knowing += bool(machine.report_suspected(3 * S + 1, "main", NAMES, set(machines), lambda *_: None))
    assert knowing >= 15


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1400))
def test_anything_may_stand_in_a_datagram(data):
    machine = HealthGossip("me", 1, Random(1))
    machine.receive(S, data)
    machine.receive(S, msgspec.msgpack.encode([report("a", 1, ("u1", 1, 1))]))
    machine.tick(S, ["me", "b"])
    assert len(machine.report_table.origins) <= 65 and len(machine.outbox) <= 1


def test_the_decisions_set_aside_by_what_they_were_told_as_by_own_hops():
    from dahliabend.model import EndpointState
    from dahliabend.policy.balancer import FLOOR, WINDOW, Balancer
    from dahliabend.simulation.cluster.script import Fleet
    from dahliabend.simulation.cluster.workload_model import WorkloadModel

    port = SimpleNamespace(set_timer=lambda *_: None, check_health=lambda *_: None)
    made = Balancer(WorkloadModel(Fleet(instances=1), 1).settings(), port, 1)
    made.update_endpoints(S, [(n, EndpointState.READY, 0, 1.0, 0, 0, b"u%d" % n) for n in range(3)], True)
    made.add_peer_report(1, FLOOR, FLOOR)
    made.add_peer_report(7, FLOOR, FLOOR)  # not listed any more
    for beat in range(WINDOW):
        made.timer_fired(S + (beat + 1) * made.beat, 0)
    assert [u.ejected for _, u in sorted(made.upstreams.items())] == [False, True, False]
