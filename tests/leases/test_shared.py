"""Shared probing: wishes are answered by the next result; nobody's word keeps an upstream out for long."""

from dahliabend.leases.duties import Done
from dahliabend.leases.shared import Shared
from dahliabend.model import Outcome

S = 1_000_000
PERIOD = 4 * S
MEMBERS = [("b0", ""), ("b1", ""), ("me", "")]


def shared():
    asked = []
    made = Shared("me", PERIOD, lambda duty, told: asked.append((duty, told)), lambda *_, **__: None)
    made.beat(S, MEMBERS, True, {"d": ""})
    return made, asked


def result(made, now, count, outcome, owner="b1", fence=50, age=0):
    made.heard(now, Done("d", fence, owner, count, age, int(outcome)))
    made.serve(now)


def test_a_wish_is_answered_by_what_was_found_after_it_and_not_before():
    made, _ = shared()
    told = []
    result(made, 2 * S, 1, Outcome.SUCCEEDED)
    assert made.want(3 * S, "d", lambda now, outcome: told.append(outcome))
    made.serve(3 * S)
    assert told == []
    result(made, 5 * S, 2, Outcome.SUCCEEDED, age=1_000)
    assert told == [Outcome.SUCCEEDED] and not made.wanted


def test_alone_or_for_what_nobody_shares_it_probes_itself():
    made, _ = shared()
    assert not made.want(S, "other", lambda *_: None)
    made.beat(2 * S, [("me", "")], True, {"d": ""})
    assert not made.want(2 * S, "d", lambda *_: None)


def test_without_a_result_for_two_periods_it_looks_itself():
    made, asked = shared()
    made.duties.settled = False
    made.want(S, "d", lambda *_: None)
    made.serve(S + 2 * PERIOD)
    assert asked == []
    made.serve(S + 2 * PERIOD + 1)
    assert [duty for duty, _ in asked] == ["d"] and not made.wanted


def test_one_that_says_again_and_again_that_an_upstream_is_gone_is_looked_after():
    """Else a broken prober would keep out what serves."""
    made, asked = shared()
    told = []
    for count in (1, 2, 3):
        made.want(count * PERIOD, "d", lambda now, outcome: told.append(outcome))
        result(made, count * PERIOD + S, count, Outcome.TIMED_OUT)
    assert told == [Outcome.TIMED_OUT, Outcome.TIMED_OUT] and len(asked) == 1
    asked[0][1](3 * PERIOD, Outcome.SUCCEEDED)
    assert told[-1] is Outcome.SUCCEEDED


def test_a_result_that_is_none_is_refused():
    made, _ = shared()
    for outcome in (Outcome.CANCELLED, Outcome.NOT_SENT, 0, 99):
        made.heard(2 * S, Done("d", 50, "b1", 1, 0, int(outcome)))
    assert made.duties.refused == 4 and made.duties.known["d"].owner != "b1"


def test_what_the_list_has_lost_is_forgotten():
    made, _ = shared()
    made.want(S, "d", lambda *_: None)
    made.beat(2 * S, MEMBERS, True, {})
    assert not made.wanted and not made.duties.known and not made.held and not made.bad
