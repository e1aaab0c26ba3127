"""The invariants on their own: each gets events, and has to name the rule that they violate, no other."""

import pytest
from run_under_test import GRACE, RunUnderTest, S

from dahliabend.simulation.observed_run import TIME_TOLERANCE


def test_one_answer_in_time_made_by_an_upstream_violates_nothing():
    run = RunUnderTest().request().attempt()("made", "t", b"body")("done", "t", "s-0", 2, 200)
    assert not run.after(S)("answer", "t", 200, b"body").after(S).violated


def test_missing_late_and_duplicate_answers_are_violations():
    assert RunUnderTest().request().after(S + TIME_TOLERANCE).violated == ["one answer"]
    assert RunUnderTest().request(expires=S // 2).after(S // 2 + TIME_TOLERANCE).violated == ["one answer"]
    run = RunUnderTest().request()("answer", "t", 503, b"")
    assert not run.violated
    assert run("answer", "t", 503, b"").violated == ["one answer"]
    assert RunUnderTest().request()("extra", "t", b"HTTP").violated == ["one answer"]
    assert RunUnderTest().request()("lost", "t", "closed").violated == ["one answer"]


def test_a_killed_balancer_owes_no_answer_and_one_that_shut_down_does():
    assert not RunUnderTest().request()("ended", "b0/1", "killed")("lost", "t", "reset").violated
    assert RunUnderTest().request()("ended", "b0/1", "returned")("lost", "t", "reset").violated == [
        "one answer"
    ]


def test_a_stall_moves_the_deadline():
    run = RunUnderTest().request()("stalled", "b0/1", S)
    assert not run.after(S + TIME_TOLERANCE + 1).violated
    assert run.after(S + TIME_TOLERANCE).violated == ["one answer"]


def test_an_answer_that_no_upstream_made_is_a_violation():
    assert RunUnderTest().request().attempt()("answer", "t", 200, b"another's").violated == ["whole answer"]


@pytest.mark.parametrize(("name", "rules"), [("query", []), ("submit", ["rollback"]), ("mark", ["rollback"])])
def test_a_rejection_of_a_request_that_may_have_executed(name, rules):
    assert RunUnderTest().request(name).attempt()("answer", "t", 503, b"").violated == rules
    assert (
        not RunUnderTest().request(name).attempt()("unrun", "t", "s-0", 2)("answer", "t", 503, b"").violated
    )
    assert not RunUnderTest().request(name).attempt(is_complete=False)("answer", "t", 503, b"").violated


def test_a_retry_after_an_attempt_that_may_have_executed():
    def again(name, upstream, wait=0):
        return (
            RunUnderTest()
            .request(name)
            .attempt()
            .close_connection()
            .after(wait)
            .attempt(upstream, 3)
            .violated
        )

    assert not again("query", "s-1")
    assert again("submit", "s-1") == ["no effect twice"]
    assert again("mark", "s-1") == ["no effect twice"]  # another cell
    assert not again("mark", "s-2")
    assert again("mark", "s-2", S // 2 + TIME_TOLERANCE + 1) == ["no effect twice"]  # past its window
    run = RunUnderTest().request("submit").attempt()("unrun", "t", "s-0", 2)
    assert not run.attempt("s-1", 3).violated


def test_two_attempts_at_once():
    assert RunUnderTest().request().attempt().attempt("s-1", 3).violated == ["two at once"]


def test_an_attempt_after_the_final_answer():
    run = RunUnderTest().request().attempt().close_connection()("answer", "t", 502, b"").after(1)
    assert run.attempt("s-1", 3).violated == ["after the end"]


def test_an_attempt_to_a_draining_or_excluded_upstream():
    for kind, rule in (
        (("told", "b0/1", "s-0", "draining"), "drain"),
        (("yes", "b0", "exclude", "s-0"), "exclusion"),
    ):
        run = RunUnderTest()(*kind).after(GRACE).request()
        assert not run.attempt().close_connection().violated
        assert run.after(TIME_TOLERANCE + 1).attempt("s-0", 3).violated == [rule]
    back = (
        RunUnderTest()("told", "b0/1", "s-0", "draining")("told", "b0/1", "s-0", "up").after(3 * S).request()
    )
    assert not back.attempt().violated
    back = RunUnderTest()("yes", "b0", "exclude", "s-0")("yes", "b0", "include", "s-0").after(3 * S).request()
    assert not back.attempt().violated


def test_bytes_that_no_client_sent():
    run = RunUnderTest()("hop.head", "unknown", "b0/1", "s-0", 2, 0)("unreadable", "s-0", "b0/1", "why")
    assert run.violated == ["bytes", "bytes"]


def test_an_answer_truncated_although_its_upstream_sent_all():
    def cut(*more):
        run = RunUnderTest().request().attempt()("made", "t", b"long")("began", "t")
        for kind in more:
            run(*kind)
        return run("cut", "t").violated

    assert not cut()
    assert cut(("gave", "t", "s-0", 2)) == ["whole answer"]
    assert not cut(("gave", "t", "s-0", 2), ("torn", 2))


def test_old_finished_requests_are_forgotten():
    run = RunUnderTest().request()("answer", "t", 503, b"").after(120 * S)
    run("asked", "u", "query", 1, S)("answer", "u", 503, b"")
    assert set(run.invariants.requests) == {"u"}


def two_of_a_key(run, pause=100_000):
    run.invariants.key_pause = pause
    for trace, connection in (("t", 1), ("u", 8)):
        run("asked", trace, "mark", connection, S)("keyed", trace, "k")("written", trace)
    run.attempt()
    return run


def second(run):
    return run("hop.head", "u", "b0/1", "s-0", 3, run.scheduler.now)


@pytest.mark.parametrize(("wait", "broken"), [(0, ["order"]), (99_999, ["order"]), (100_000, [])])
def test_the_next_request_of_a_key_waits_for_the_attempt_in_flight_and_the_rest(wait, broken):
    assert second(two_of_a_key(RunUnderTest()).after(1).close_connection().after(wait)).violated == broken
    assert second(two_of_a_key(RunUnderTest()).after(1)).violated == ["order"]
    assert second(two_of_a_key(RunUnderTest()).after(1)("done", "t", "s-0", 2, 200)).violated == []


def test_a_clearly_earlier_request_goes_first_unless_its_answer_is_in_flight():
    for answered, broken in ((False, ["order"]), (True, [])):
        run = RunUnderTest()
        for trace, connection in (("t", 1), ("u", 8)):
            run("asked", trace, "mark", connection, S)("keyed", trace, "k")("written", trace).after(400_000)
        second(run).after(1_000)
        if answered:
            run("answer", "t", 503, b"")
        assert run.after(TIME_TOLERANCE).violated == broken


def test_an_attempt_over_a_tenth_of_a_second_after_the_client_disconnected():
    def sent(came, wait):
        run = RunUnderTest().request().after(1_000)("left", "t")
        far = run.invariants.connections[1].peer
        run.after(came)
        far.peer_end_seen_at = run.scheduler.now
        return run.after(wait).attempt().violated

    assert not sent(0, 100_000)
    assert sent(0, 100_001) == ["after the end"]
    assert not sent(40_000, 100_000)  # it lay behind bytes for which there was no room


def test_a_change_known_to_discovery_counts_as_announced_after_six_seconds():
    def sent(wait, state="draining"):
        run = RunUnderTest()("had", "b0", "s-0", "draining")
        if state == "up":
            run("had", "b0", "s-0", "up")
        return run.after(wait).request().attempt().violated

    assert not sent(6 * S + GRACE + TIME_TOLERANCE)
    assert sent(6 * S + GRACE + TIME_TOLERANCE + 1) == ["told in time"]
    assert not sent(20 * S, "up")


def test_the_announced_deadline_is_at_most_what_is_left():
    def announced(milliseconds, wait):
        return RunUnderTest().request().after(wait)("hop.told", "t", "s-0", milliseconds).violated

    assert not announced(1000, 0)
    assert not announced(1000, 150_000)
    assert announced(1000, 150_001) == ["time told"]
    assert not announced(500, S // 2)
    stood = RunUnderTest().request()("stalled", "b0/1", S // 2).after(S // 2 + 1)
    assert not stood("hop.told", "t", "s-0", 1000).violated  # nobody knows how long its bytes lay there


def test_a_request_on_a_connection_that_the_balancer_had_shut_down():
    def violated_after(shut_at):
        run = RunUnderTest().after(10)
        run.invariants.connections[1].peer.closed_at = run.scheduler.now + shut_at
        return run.request().attempt().violated

    assert violated_after(-1) == ["after the shutdown"]
    assert not violated_after(0)
    assert not violated_after(1)


def test_a_process_that_rejects_everything_for_four_seconds():
    def away(count, over, hop_at=None):
        run = RunUnderTest()
        for number in range(count):
            trace = f"t{number}"
            run("asked", trace, "query", 1, S)("written", trace)("answer", trace, 503, b"")
            if number == hop_at:
                run.request("query").attempt()("made", "t", b"x")("done", "t", "s-0", 2, 200)(
                    "answer", "t", 200, b"x"
                )
            run.after(over // (count - 1))
        return run.violated

    assert away(17, 4_200_000) == ["serves nobody"]
    assert not away(17, 3_900_000)
    assert not away(15, 6 * S)
    assert not away(20, 6 * S, hop_at=9)
