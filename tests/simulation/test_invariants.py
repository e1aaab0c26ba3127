"""Unit tests of the invariants: events have to violate exactly the rules that are expected."""

import pytest
from run_under_test import DRAIN_TIME, RunUnderTest, S

from dahliabend.simulation.observed_run import TIME_TOLERANCE


def test_one_answer_in_time_made_by_an_upstream_violates_nothing():
    run = RunUnderTest().request().attempt()("made", "t", b"body")("done", "t", "s-0", 2, 200)
    assert not run.advance(S)("answer", "t", 200, b"body").advance(S).violated_rules


def test_missing_late_and_duplicate_answers_are_violations():
    assert RunUnderTest().request().advance(S + TIME_TOLERANCE).violated_rules == ["one answer"]
    assert RunUnderTest().request(expires=S // 2).advance(S // 2 + TIME_TOLERANCE).violated_rules == [
        "one answer"
    ]
    run = RunUnderTest().request()("answer", "t", 503, b"")
    assert not run.violated_rules
    assert run("answer", "t", 503, b"").violated_rules == ["one answer"]
    assert RunUnderTest().request()("extra", "t", b"HTTP").violated_rules == ["one answer"]
    assert RunUnderTest().request()("lost", "t", "closed").violated_rules == ["one answer"]


def test_a_killed_balancer_owes_no_answer_and_one_that_shut_down_does():
    assert not RunUnderTest().request()("ended", "b0/1", "killed")("lost", "t", "reset").violated_rules
    assert RunUnderTest().request()("ended", "b0/1", "returned")("lost", "t", "reset").violated_rules == [
        "one answer"
    ]


def test_a_stall_moves_the_deadline():
    run = RunUnderTest().request()("stalled", "b0/1", S)
    assert not run.advance(S + TIME_TOLERANCE + 1).violated_rules
    assert run.advance(S + TIME_TOLERANCE).violated_rules == ["one answer"]


def test_an_answer_that_no_upstream_made_is_a_violation():
    assert RunUnderTest().request().attempt()("answer", "t", 200, b"another's").violated_rules == [
        "whole answer"
    ]


@pytest.mark.parametrize(
    ("name", "expected_rules"), [("query", []), ("submit", ["rollback"]), ("mark", ["rollback"])]
)
def test_a_rejection_after_a_possible_execution_is_a_violation_unless_idempotent(name, expected_rules):
    assert RunUnderTest().request(name).attempt()("answer", "t", 503, b"").violated_rules == expected_rules
    assert (
        not RunUnderTest()
        .request(name)
        .attempt()("unrun", "t", "s-0", 2)("answer", "t", 503, b"")
        .violated_rules
    )
    assert not RunUnderTest().request(name).attempt(is_complete=False)("answer", "t", 503, b"").violated_rules


def test_a_retry_after_a_possible_execution_must_be_allowed_by_the_class():
    def rules_violated_by_retry(name, upstream, wait=0):
        return (
            RunUnderTest()
            .request(name)
            .attempt()
            .close_connection()
            .advance(wait)
            .attempt(upstream, 3)
            .violated_rules
        )

    assert not rules_violated_by_retry("query", "s-1")
    assert rules_violated_by_retry("submit", "s-1") == ["no effect twice"]
    assert rules_violated_by_retry("mark", "s-1") == ["no effect twice"]  # another cell
    assert not rules_violated_by_retry("mark", "s-2")
    # After the deduplication window.
    assert rules_violated_by_retry("mark", "s-2", S // 2 + TIME_TOLERANCE + 1) == ["no effect twice"]
    run = RunUnderTest().request("submit").attempt()("unrun", "t", "s-0", 2)
    assert not run.attempt("s-1", 3).violated_rules


def test_two_concurrent_attempts_are_a_violation():
    assert RunUnderTest().request().attempt().attempt("s-1", 3).violated_rules == ["two at once"]


def test_an_attempt_after_the_final_answer_is_a_violation():
    run = RunUnderTest().request().attempt().close_connection()("answer", "t", 502, b"").advance(1)
    assert run.attempt("s-1", 3).violated_rules == ["after the end"]


def test_an_attempt_to_a_drained_or_excluded_upstream_is_a_violation():
    for event, rule in (
        (("told", "b0/1", "s-0", "draining"), "drain"),
        (("yes", "b0", "exclude", "s-0"), "exclusion"),
    ):
        run = RunUnderTest()(*event).advance(DRAIN_TIME).request()
        assert not run.attempt().close_connection().violated_rules
        assert run.advance(TIME_TOLERANCE + 1).attempt("s-0", 3).violated_rules == [rule]
    available_again = (
        RunUnderTest()("told", "b0/1", "s-0", "draining")("told", "b0/1", "s-0", "up")
        .advance(3 * S)
        .request()
    )
    assert not available_again.attempt().violated_rules
    available_again = (
        RunUnderTest()("yes", "b0", "exclude", "s-0")("yes", "b0", "include", "s-0").advance(3 * S).request()
    )
    assert not available_again.attempt().violated_rules


def test_bytes_that_no_client_sent_are_a_violation():
    run = RunUnderTest()("hop.head", "unknown", "b0/1", "s-0", 2, 0)("unreadable", "s-0", "b0/1", "why")
    assert run.violated_rules == ["bytes", "bytes"]


def test_truncating_an_answer_that_was_sent_whole_is_a_violation():
    def rules_violated_by_truncation(*events):
        run = RunUnderTest().request().attempt()("made", "t", b"long")("began", "t")
        for event in events:
            run(*event)
        return run("cut", "t").violated_rules

    assert not rules_violated_by_truncation()
    assert rules_violated_by_truncation(("gave", "t", "s-0", 2)) == ["whole answer"]
    assert not rules_violated_by_truncation(("gave", "t", "s-0", 2), ("torn", 2))


def test_old_finished_requests_are_forgotten():
    run = RunUnderTest().request()("answer", "t", 503, b"").advance(120 * S)
    run("asked", "u", "query", 1, S)("answer", "u", 503, b"")
    assert set(run.invariants.requests) == {"u"}


def start_two_requests_of_a_key(run, pause=100_000):
    run.invariants.order_pause = pause
    for trace_id, connection in (("t", 1), ("u", 8)):
        run("asked", trace_id, "mark", connection, S)("keyed", trace_id, "k")("written", trace_id)
    run.attempt()
    return run


def send_second_request(run):
    return run("hop.head", "u", "b0/1", "s-0", 3, run.scheduler.now)


@pytest.mark.parametrize(("wait", "expected_rules"), [(0, ["order"]), (99_999, ["order"]), (100_000, [])])
def test_the_next_request_of_a_key_waits_for_the_open_attempt_and_the_pause(wait, expected_rules):
    assert (
        send_second_request(
            start_two_requests_of_a_key(RunUnderTest()).advance(1).close_connection().advance(wait)
        ).violated_rules
        == expected_rules
    )
    assert send_second_request(start_two_requests_of_a_key(RunUnderTest()).advance(1)).violated_rules == [
        "order"
    ]
    assert (
        send_second_request(
            start_two_requests_of_a_key(RunUnderTest()).advance(1)("done", "t", "s-0", 2, 200)
        ).violated_rules
        == []
    )


def test_a_clearly_earlier_request_goes_first_unless_its_answer_is_in_flight():
    for answered, expected_rules in ((False, ["order"]), (True, [])):
        run = RunUnderTest()
        for trace_id, connection in (("t", 1), ("u", 8)):
            run("asked", trace_id, "mark", connection, S)("keyed", trace_id, "k")(
                "written", trace_id
            ).advance(400_000)
        send_second_request(run).advance(1_000)
        if answered:
            run("answer", "t", 503, b"")
        assert run.advance(TIME_TOLERANCE).violated_rules == expected_rules


def test_an_attempt_100_ms_after_the_client_disconnected_is_a_violation():
    def rules_violated_by_attempt(arrival_delay, wait):
        run = RunUnderTest().request().advance(1_000)("left", "t")
        balancer_end = run.invariants.connections[1].peer
        run.advance(arrival_delay)
        balancer_end.peer_closed_at = run.scheduler.now
        return run.advance(wait).attempt().violated_rules

    assert not rules_violated_by_attempt(0, 100_000)
    assert rules_violated_by_attempt(0, 100_001) == ["after the end"]
    assert not rules_violated_by_attempt(
        40_000, 100_000
    )  # the end of its connection arrived later, behind bytes without room


def test_a_change_known_to_discovery_counts_as_announced_after_six_seconds():
    def rules_violated_by_attempt(wait, state="draining"):
        run = RunUnderTest()("had", "b0", "s-0", "draining")
        if state == "up":
            run("had", "b0", "s-0", "up")
        return run.advance(wait).request().attempt().violated_rules

    assert not rules_violated_by_attempt(6 * S + DRAIN_TIME + TIME_TOLERANCE)
    assert rules_violated_by_attempt(6 * S + DRAIN_TIME + TIME_TOLERANCE + 1) == ["told in time"]
    assert not rules_violated_by_attempt(20 * S, "up")


def test_the_announced_deadline_is_at_most_what_is_left():
    def rules_violated_by_deadline(milliseconds, wait):
        return RunUnderTest().request().advance(wait)("hop.told", "t", "s-0", milliseconds).violated_rules

    assert not rules_violated_by_deadline(1000, 0)
    assert not rules_violated_by_deadline(1000, 150_000)
    assert rules_violated_by_deadline(1000, 150_001) == ["time told"]
    assert not rules_violated_by_deadline(500, S // 2)
    stalled = RunUnderTest().request()("stalled", "b0/1", S // 2).advance(S // 2 + 1)
    # The process cannot know how long the request lay unread.
    assert not stalled("hop.told", "t", "s-0", 1000).violated_rules


def test_an_attempt_for_a_request_on_a_shut_down_connection_is_a_violation():
    def violated_after(shut_at):
        run = RunUnderTest().advance(10)
        run.invariants.connections[1].peer.closed_at = run.scheduler.now + shut_at
        return run.request().attempt().violated_rules

    assert violated_after(-1) == ["after the shutdown"]
    assert not violated_after(0)
    assert not violated_after(1)


def test_rejecting_everything_for_four_seconds_is_a_violation():
    def rules_violated_by_rejections(count, duration, attempt_at=None):
        run = RunUnderTest()
        for number in range(count):
            trace_id = f"t{number}"
            run("asked", trace_id, "query", 1, S)("written", trace_id)("answer", trace_id, 503, b"")
            if number == attempt_at:
                run.request("query").attempt()("made", "t", b"x")("done", "t", "s-0", 2, 200)(
                    "answer", "t", 200, b"x"
                )
            run.advance(duration // (count - 1))
        return run.violated_rules

    assert rules_violated_by_rejections(17, 4_200_000) == ["serves nobody"]
    assert not rules_violated_by_rejections(17, 3_900_000)
    assert not rules_violated_by_rejections(15, 6 * S)
    assert not rules_violated_by_rejections(20, 6 * S, attempt_at=9)
