"""Shared probing: wishes are answered by the next result; nobody's word keeps an upstream out for long."""

from dahliabend.leases.election import LeaseAnnouncement
from dahliabend.leases.leased_health_checks import LeasedHealthChecks
from dahliabend.model import Outcome

S = 1_000_000
PERIOD = 4 * S
MEMBERS = [("b0", ""), ("b1", ""), ("me", "")]


def shared():
    asked = []
    made = LeasedHealthChecks(
        "me", PERIOD, lambda task, told: asked.append((task, told)), lambda *_, **__: None
    )
    made.tick(S, MEMBERS, True, {"d": ""})
    return made, asked


def result(made, now, count, outcome, holder="b1", fencing_token=50, age_ms=0):
    made.apply_announcement(now, LeaseAnnouncement("d", fencing_token, holder, count, age_ms, int(outcome)))
    made.deliver_results(now)


def test_a_wish_is_answered_by_what_was_found_after_it_and_not_before():
    made, _ = shared()
    told = []
    result(made, 2 * S, 1, Outcome.SUCCEEDED)
    assert made.request_check(3 * S, "d", lambda now, outcome: told.append(outcome))
    made.deliver_results(3 * S)
    assert told == []
    result(made, 5 * S, 2, Outcome.SUCCEEDED, age_ms=1_000)
    assert told == [Outcome.SUCCEEDED] and not made.pending


def test_alone_or_for_what_nobody_shares_it_probes_itself():
    made, _ = shared()
    assert not made.request_check(S, "other", lambda *_: None)
    made.tick(2 * S, [("me", "")], True, {"d": ""})
    assert not made.request_check(2 * S, "d", lambda *_: None)


def test_without_a_result_for_two_periods_it_looks_itself():
    made, asked = shared()
    made.election.view_settled = False
    made.request_check(S, "d", lambda *_: None)
    made.deliver_results(S + 2 * PERIOD)
    assert asked == []
    made.deliver_results(S + 2 * PERIOD + 1)
    assert [task for task, _ in asked] == ["d"] and not made.pending


def test_one_that_says_again_and_again_that_an_upstream_is_gone_is_looked_after():
    """Else a broken prober would keep out what serves."""
    made, asked = shared()
    told = []
    for count in (1, 2, 3):
        made.request_check(count * PERIOD, "d", lambda now, outcome: told.append(outcome))
        result(made, count * PERIOD + S, count, Outcome.TIMED_OUT)
    assert told == [Outcome.TIMED_OUT, Outcome.TIMED_OUT] and len(asked) == 1
    asked[0][1](3 * PERIOD, Outcome.SUCCEEDED)
    assert told[-1] is Outcome.SUCCEEDED


def test_a_result_that_is_none_is_refused():
    made, _ = shared()
    for outcome in (Outcome.CANCELLED, Outcome.NOT_SENT, 0, 99):
        made.apply_announcement(2 * S, LeaseAnnouncement("d", 50, "b1", 1, 0, int(outcome)))
    assert made.election.rejected == 4 and made.election.leases["d"].holder != "b1"


def test_what_the_list_has_lost_is_forgotten():
    made, _ = shared()
    made.request_check(S, "d", lambda *_: None)
    made.tick(2 * S, MEMBERS, True, {})
    assert not made.pending and not made.election.leases and not made.held_tokens and not made.bad
