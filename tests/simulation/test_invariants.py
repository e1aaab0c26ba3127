"""The checks on their own: each gets events, and has to name the rule that they violate, and only that."""

from types import SimpleNamespace

import pytest

from dahliabend.simulation.event_loop import Scheduler
from dahliabend.simulation.invariants import SLACK, InvariantChecker, RequestClassRules
from dahliabend.simulation.recorder import Recorder

S = 1_000_000
CLASSES = {
    "query": RequestClassRules("query", "idempotent", "all", 0, S),
    "submit": RequestClassRules("submit", "at_most_once", "all", 0, S),
    "mark": RequestClassRules("mark", "deduplicated", "cell", S // 2, S),
}
GRACE = 1_500_000


class RunUnderTest:
    """Invariants, and the events that they get at which time. Connections 1 to 9 are open."""

    def __init__(self):
        self.scheduler = Scheduler()
        self.recorder = Recorder(self.scheduler)
        self.invariants = InvariantChecker(self.scheduler, self.recorder, CLASSES, GRACE)
        self.invariants.upstream_places = {"s-0": (0, "a"), "s-1": (1, "a"), "s-2": (0, "b")}
        process = SimpleNamespace(name="b0/1")
        far = SimpleNamespace(
            sock=SimpleNamespace(process=process),
            local=("b", 1),
            reset_received=False,
            closed_at=0,
            peer_end_seen_at=0,
        )
        for number in range(1, 10):
            self.invariants.connections[number] = SimpleNamespace(
                peer=far, closed_at=0, reset_received=False, fin_received=False, is_closed=False
            )

    def __call__(self, kind, *values):
        self.recorder(kind, *values)
        return self

    def after(self, span):
        self.scheduler.run_until(self.scheduler.now + span)
        return self

    def asked(self, name="query", expires=S):
        return self("asked", "t", name, 1, expires)("written", "t")

    def hop(self, upstream="s-0", connection=2, whole=True):
        self("hop.head", "t", "b0/1", upstream, connection, self.scheduler.now)
        return self("hop.whole", "t", "b0/1", upstream, connection) if whole else self

    def ended(self, connection=2):
        self.invariants.connections[connection].closed_at = self.scheduler.now
        return self

    @property
    def broken(self):
        return [violation.rule for violation in self.invariants.violations]


def test_one_answer_in_time_made_by_an_upstream_breaks_nothing():
    run = RunUnderTest().asked().hop()("made", "t", b"body")("done", "t", "s-0", 2, 200)
    assert not run.after(S)("answer", "t", 200, b"body").after(S).broken


def test_no_answer_a_late_one_and_two():
    assert RunUnderTest().asked().after(S + SLACK).broken == ["one answer"]
    assert RunUnderTest().asked(expires=S // 2).after(S // 2 + SLACK).broken == ["one answer"]
    run = RunUnderTest().asked()("answer", "t", 503, b"")
    assert not run.broken
    assert run("answer", "t", 503, b"").broken == ["one answer"]
    assert RunUnderTest().asked()("extra", "t", b"HTTP").broken == ["one answer"]
    assert RunUnderTest().asked()("lost", "t", "closed").broken == ["one answer"]


def test_a_killed_balancer_owes_nothing_and_one_that_ended_in_order_does():
    assert not RunUnderTest().asked()("ended", "b0/1", "killed")("lost", "t", "reset").broken
    assert RunUnderTest().asked()("ended", "b0/1", "returned")("lost", "t", "reset").broken == ["one answer"]


def test_a_standstill_moves_the_limit():
    run = RunUnderTest().asked()("stalled", "b0/1", S)
    assert not run.after(S + SLACK + 1).broken
    assert run.after(S + SLACK).broken == ["one answer"]


def test_an_answer_that_no_upstream_made_for_it():
    assert RunUnderTest().asked().hop()("answer", "t", 200, b"another's").broken == ["whole answer"]


@pytest.mark.parametrize("name, rules", [("query", []), ("submit", ["rollback"]), ("mark", ["rollback"])])
def test_a_rollback_of_what_may_have_run(name, rules):
    assert RunUnderTest().asked(name).hop()("answer", "t", 503, b"").broken == rules
    assert not RunUnderTest().asked(name).hop()("unrun", "t", "s-0", 2)("answer", "t", 503, b"").broken
    assert not RunUnderTest().asked(name).hop(whole=False)("answer", "t", 503, b"").broken


def test_a_second_hop_after_one_that_may_have_run():
    def again(name, upstream, wait=0):
        return RunUnderTest().asked(name).hop().ended().after(wait).hop(upstream, 3).broken

    assert not again("query", "s-1")
    assert again("submit", "s-1") == ["no effect twice"]
    assert again("mark", "s-1") == ["no effect twice"]  # another cell
    assert not again("mark", "s-2")
    assert again("mark", "s-2", S // 2 + SLACK + 1) == ["no effect twice"]  # past its window
    run = RunUnderTest().asked("submit").hop()("unrun", "t", "s-0", 2)
    assert not run.hop("s-1", 3).broken


def test_two_hops_at_once():
    assert RunUnderTest().asked().hop().hop("s-1", 3).broken == ["two at once"]


def test_a_hop_after_the_final_answer():
    run = RunUnderTest().asked().hop().ended()("answer", "t", 502, b"").after(1)
    assert run.hop("s-1", 3).broken == ["after the end"]


def test_a_hop_to_one_that_drains_or_was_taken_out():
    for kind, rule in (
        (("told", "b0/1", "s-0", "draining"), "drain"),
        (("yes", "b0", "exclude", "s-0"), "exclusion"),
    ):
        run = RunUnderTest()(*kind).after(GRACE).asked()
        assert not run.hop().ended().broken
        assert run.after(SLACK + 1).hop("s-0", 3).broken == [rule]
    back = RunUnderTest()("told", "b0/1", "s-0", "draining")("told", "b0/1", "s-0", "up").after(3 * S).asked()
    assert not back.hop().broken
    back = RunUnderTest()("yes", "b0", "exclude", "s-0")("yes", "b0", "include", "s-0").after(3 * S).asked()
    assert not back.hop().broken


def test_bytes_that_nobody_sent():
    run = RunUnderTest()("hop.head", "unknown", "b0/1", "s-0", 2, 0)("unreadable", "s-0", "b0/1", "why")
    assert run.broken == ["bytes", "bytes"]


def test_an_answer_cut_short_although_its_upstream_gave_all():
    def cut(*more):
        run = RunUnderTest().asked().hop()("made", "t", b"long")("began", "t")
        for kind in more:
            run(*kind)
        return run("cut", "t").broken

    assert not cut()
    assert cut(("gave", "t", "s-0", 2)) == ["whole answer"]
    assert not cut(("gave", "t", "s-0", 2), ("torn", 2))


def test_what_has_ended_long_ago_is_forgotten():
    run = RunUnderTest().asked()("answer", "t", 503, b"").after(120 * S)
    run("asked", "u", "query", 1, S)("answer", "u", 503, b"")
    assert set(run.invariants.requests) == {"u"}


def two_of_a_key(run, pause=100_000):
    run.invariants.key_rest = pause
    for trace, connection in (("t", 1), ("u", 8)):
        run("asked", trace, "mark", connection, S)("keyed", trace, "k")("written", trace)
    run.hop()
    return run


def second(run):
    return run("hop.head", "u", "b0/1", "s-0", 3, run.scheduler.now)


@pytest.mark.parametrize("wait, broken", [(0, ["order"]), (99_999, ["order"]), (100_000, [])])
def test_the_next_of_a_key_waits_for_the_hop_out_and_for_the_rest(wait, broken):
    assert second(two_of_a_key(RunUnderTest()).after(1).ended().after(wait)).broken == broken
    assert second(two_of_a_key(RunUnderTest()).after(1)).broken == ["order"]
    assert second(two_of_a_key(RunUnderTest()).after(1)("done", "t", "s-0", 2, 200)).broken == []


def test_one_that_came_long_before_goes_first_unless_its_answer_is_under_way():
    for answered, broken in ((False, ["order"]), (True, [])):
        run = RunUnderTest()
        for trace, connection in (("t", 1), ("u", 8)):
            run("asked", trace, "mark", connection, S)("keyed", trace, "k")("written", trace).after(400_000)
        second(run).after(1_000)
        if answered:
            run("answer", "t", 503, b"")
        assert run.after(SLACK).broken == broken


def test_what_goes_out_over_a_tenth_of_a_second_after_the_end_of_its_callers_connection_came():
    def sent(came, wait):
        run = RunUnderTest().asked().after(1_000)("left", "t")
        far = run.invariants.connections[1].peer
        run.after(came)
        far.peer_end_seen_at = run.scheduler.now
        return run.after(wait).hop().broken

    assert not sent(0, 100_000)
    assert sent(0, 100_001) == ["after the end"]
    assert not sent(40_000, 100_000)  # it lay behind bytes for which there was no room


def test_what_discovery_knew_counts_as_told_after_six_seconds_come_or_not():
    def sent(wait, state="draining"):
        run = RunUnderTest()("had", "b0", "s-0", "draining")
        if state == "up":
            run("had", "b0", "s-0", "up")
        return run.after(wait).asked().hop().broken

    assert not sent(6 * S + GRACE + SLACK)
    assert sent(6 * S + GRACE + SLACK + 1) == ["told in time"]
    assert not sent(20 * S, "up")


def test_the_time_told_is_at_most_what_is_left():
    def announced(milliseconds, wait):
        return RunUnderTest().asked().after(wait)("hop.told", "t", "s-0", milliseconds).broken

    assert not announced(1000, 0)
    assert not announced(1000, 150_000)
    assert announced(1000, 150_001) == ["time told"]
    assert not announced(500, S // 2)
    stood = RunUnderTest().asked()("stalled", "b0/1", S // 2).after(S // 2 + 1)
    assert not stood("hop.told", "t", "s-0", 1000).broken  # nobody knows how long its bytes lay there


def test_what_was_asked_on_a_connection_that_the_balancer_had_shut():
    def asked(shut_at):
        run = RunUnderTest().after(10)
        run.invariants.connections[1].peer.closed_at = run.scheduler.now + shut_at
        return run.asked().hop().broken

    assert asked(-1) == ["after the shutdown"]
    assert not asked(0)
    assert not asked(1)


def test_a_process_that_turns_away_all_that_comes_for_four_seconds():
    def away(count, over, hop_at=None):
        run = RunUnderTest()
        for number in range(count):
            trace = f"t{number}"
            run("asked", trace, "query", 1, S)("written", trace)("answer", trace, 503, b"")
            if number == hop_at:
                run.asked("query").hop()("made", "t", b"x")("done", "t", "s-0", 2, 200)(
                    "answer", "t", 200, b"x"
                )
            run.after(over // (count - 1))
        return run.broken

    assert away(17, 4_200_000) == ["serves nobody"]
    assert not away(17, 3_900_000)
    assert not away(15, 6 * S)
    assert not away(20, 6 * S, hop_at=9)
