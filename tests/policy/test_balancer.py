"""Each rule at its edges, and each failure found on the bench, on the module alone."""

from helpers import FREE, MARKED, MS, ONCE, S, balancer, taken

from dahliabend.model import DeduplicationScope, Effect, EndpointState, Outcome, RequestClass
from dahliabend.policy.concurrency import INITIAL_LIMIT
from dahliabend.policy.selection import LEAST_SUBSET
from dahliabend.policy.throttling import (
    FLOOR,
    LINGER,
    OUTLIER_REDUCTION,
    TIER_FLOOR,
    VALIDITY_WINDOWS,
    ThrottleEntry,
)

T = 100 * S


def test_a_transaction_past_its_limit_is_answered_at_once():
    made, port = balancer()
    request = made.admit(T, 1, 0, 0, T)
    assert request.is_finished and port[-1][0] == "reject" and not port.of("send")


def test_no_hop_outlasts_the_limit_and_the_last_timeout_is_answered():
    made, port = balancer()
    request = taken(made, 2)
    assert port[-1][3] == 5 * S
    request.attempt_finished(T + 5 * S, 0, Outcome.TIMED_OUT, 5 * S, False)
    assert request.is_finished and port[-1] == ("fail", 1)


def test_no_upstreams_at_all_is_an_early_rollback_with_advice():
    made, port = balancer(upstreams=0)
    assert taken(made, 0).is_finished and port[-1] == ("reject", 1, S // 2)


def test_nothing_follows_once_the_client_has_left():
    made, port = balancer()
    request = taken(made, 0)
    request.client_disconnected(T)
    assert port[-1] == ("cancel", 1, 0) and not request.is_finished
    request.attempt_finished(T, 0, Outcome.CANCELLED, 0, True)
    assert request.is_finished and len(port.of("send")) == 1


def test_non_idempotent_follows_only_what_proved_unrun():
    for outcome in Outcome:
        made, port = balancer()
        request = taken(made, 2)
        request.attempt_finished(T, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        again = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        assert len(port.of("send")) == 1 + again, outcome
        rolled_back = bool(port.of("reject"))
        assert rolled_back == (outcome is Outcome.NOT_SENT), outcome


def test_journalled_stays_in_its_group_and_window():
    made, port = balancer()
    request = taken(made, 1)
    made.retry_budget = 5
    request.attempt_finished(T + S, 0, Outcome.FAILED, S, False)
    first, second = (note[2] for note in port.of("send"))
    assert first % 2 == second % 2 and first != second  # cells by parity
    hop = request.first_possibly_executed()
    assert hop.sent_at == T
    request.in_flight = 0
    assert request.may_be_sent(T + MARKED.deduplication_window - 1) and not request.may_be_sent(
        T + MARKED.deduplication_window
    )


def test_journalled_that_may_have_run_is_abandoned_unless_any_upstream_knows_it():
    anywhere = RequestClass(Effect.DEDUPLICATED, DeduplicationScope.ALL, 8 * S, 2 * S, 5 * S, 1.0, 0.5)
    for profile, end in ((MARKED, "fail"), (anywhere, "reject")):
        made, port = balancer(request_classes=(profile,), max_attempts=1)
        taken(made, 0).attempt_finished(T, 0, Outcome.RESET, MS, False)
        assert port[-1][0] == end


def test_a_hop_still_out_forbids_another():
    for profile in range(3):
        made, _ = balancer()
        assert not taken(made, profile).may_be_sent(T)


def test_drained_and_left_out_upstreams_get_nothing_new():
    made, port = balancer(upstreams=3)
    made.update_endpoints(T, [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b"")], full=False)
    made.update_endpoints(
        T,
        [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b""), (2, EndpointState.READY, 0, 1.0, 0, 0, b"")],
        full=True,
    )
    for ref in range(6):
        taken(made, 0, ref=ref)
    assert {note[2] for note in port.of("send")} == {2}


def test_an_upstream_that_has_gone_leaves_nothing_and_late_news_of_it_finds_nobody():
    for full in (False, True):
        made, port = balancer(upstreams=2)
        request = taken(made, 0)
        gone = port[-1][2]
        made.outliers.eject(made.selection.endpoints[gone], T)
        rows = [
            (1 - gone, EndpointState.READY, 0, 1.0, 0, 0, b"1"),
            (gone, EndpointState.REMOVED, 0, 1.0, 0, 0, b"0"),
        ]
        made.update_endpoints(T, rows[: 1 if full else 2], full)
        assert list(made.selection.endpoints) == [1 - gone] and made.concurrency.in_flight == 0
        made.health_check_finished(T + 9 * S, gone, Outcome.SUCCEEDED)
        made.update_endpoints(T, [(gone, EndpointState.READY, 0, 1.0, 0, 0, b"new")], False)
        assert not made.selection.endpoints[gone].is_ejected and not made.selection.endpoints[gone].in_flight
        request.attempt_finished(T + S, 0, Outcome.TIMED_OUT, S, False)
        assert (
            made.selection.endpoints[gone].entries[-1].sampled == 0
            and request.attempts[-1].endpoint.index == 1 - gone
        )


def test_a_list_that_must_be_asked_for_is_and_again_after_a_failure():
    made, port = balancer(polls_endpoints=True)
    assert len(port.of("poll_endpoints")) == 1
    made.endpoint_poll_failed(T)
    _, at, token = port[-1]
    assert T < at <= T + 10 * S // 8
    made.timer_fired(at, token)
    assert len(port.of("poll_endpoints")) == 2


def test_cold_upstreams_together_keep_to_a_budget():
    made, port = balancer(upstreams=4, born=0)
    made.update_endpoints(T, [(3, EndpointState.READY, T, 1.0, 1, 1, b"")], full=False)
    made.selection.send_rate, made.concurrency.limit = 400 / S, 1e9  # a hundred a second and upstream
    for step in range(4000):
        now = T + step * S // 4000
        taken(made, 0, now=now, ref=step).attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
    sent = sum(note[2] == 3 for note in port.of("send"))
    assert 10 < sent <= 100 * 0.2 * 1.5 * 1.5  # its share of half the multiple, a little risen


def test_a_tier_all_cold_is_fed_by_what_clients_ask_first():
    made, port = balancer(upstreams=2, born=T)
    assert taken(made, 0).is_finished  # nothing is known yet
    made.selection.new_requests = 100
    made.close_windows(T + S)
    taken(made, 0, now=T + S)
    taken(made, 0, now=T + 2 * S)
    assert port.of("send")


def window(tried, bad, now, entry=None, floor=20):
    entry = entry or ThrottleEntry()
    entry.sampled, entry.failed = tried, bad
    entry.close_window(now, floor, 5 * S, 5 * S)
    return entry


def test_metric_floor_step_easing_and_lapse():
    assert window(19, 19, 6 * S).reduction == 0  # below the floor a window counts as zero
    assert window(19, 19, 4 * S).sampled == 19  # but stays open for a quiet balancer until then
    entry = window(20, 10, 6 * S)
    assert entry.reduction == 0.5 and entry.valid_until == 11 * S
    assert window(100, 52, 8 * S, entry).reduction == 0.5 and entry.valid_until == 13 * S  # renewed
    assert window(100, 60, 9 * S, entry).reduction == 0.6  # replaced
    assert window(0, 0, 13 * S, entry).valid_until == 14 * S  # an empty window renews nothing
    assert window(100, 0, 13 * S, entry).reduction == 0.3  # eased, not dropped: no wave
    assert window(0, 0, 20 * S, entry).reduction == 0  # lapsed


def test_the_last_percents_of_an_eased_share_end():
    entry = window(20, 2, 6 * S)
    for n in range(LINGER + 1):
        window(20, 0, (8 + 5 * n) * S, entry)
    assert entry.reduction == 0


def test_a_quiet_balancers_last_percents_end_as_soon_and_one_bad_hop_of_a_floor_is_none():
    entry = ThrottleEntry()
    for now, tried, bad, metric in ((0, 100, 8, 0.08), (19, 20, 0, 0.08), (20, 20, 0, 0.0)):
        entry.sampled, entry.failed = tried, bad
        entry.close_window(now * S, TIER_FLOOR, 20 * S, 5 * S)  # valid for 20 s, the shortest validity is 5 s
        assert abs(entry.reduction - metric) < 1e-9, now
    assert window(20, 1, 60 * S).reduction == 0


def test_finest_valid_entry_governs():
    made, _ = balancer()
    u = made.selection.endpoints[0]
    for entry, metric in ((made.throttling.tier, 0.3), (u.entries[-1], 0.2), (u.entries[1], 0.1)):
        entry.reduction, entry.valid_until = metric, T + S
    assert (
        made.throttling.governing(u.entries, 1, T) is u.entries[1]
        and made.throttling.governing(u.entries, 0, T) is u.entries[-1]
    )
    assert (
        made.throttling.governing(made.selection.endpoints[1].entries, 0, T) is made.throttling.tier
        and made.throttling.tier.valid_reduction(T) == 0.3
    )
    assert (
        made.throttling.governing(u.entries, 1, T + S) is made.throttling.tier
        and made.throttling.tier.valid_reduction(T + S) == 0.0
    )


def test_governed_share_goes_to_a_heard_zero_metric_upstream_or_is_refused():
    made, port = balancer(upstreams=3)
    for u, metric in zip(made.selection.endpoints.values(), (1.0, 1.0, 0.0), strict=True):
        u.entries[-1].reduction, u.entries[-1].valid_until = metric, T + S
    for ref in range(6):
        taken(made, 0, ref=ref).attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert {note[2] for note in port.of("send")} == {2}
    made.selection.endpoints[2].entries[-1].valid_until = 0  # not heard yet: counts at the others' mean
    assert made.selection.choose(taken(made, 2), T, unthrottled=True) is None


def test_where_all_upstreams_hold_shares_the_tiers_share_decides():
    for pressed, share, sent in ((False, 0.0, True), (True, 0.0, True), (False, 1.0, False)):
        made, port = balancer()
        made.concurrency.is_overloaded, made.throttling.tier.reduction, made.throttling.tier.valid_until = (
            pressed,
            share,
            T + S,
        )
        for u in made.selection.ready:
            u.entries[-1].reduction, u.entries[-1].valid_until = 1.0, T + S
        taken(made, 2)
        assert bool(port.of("send")) is sent


def test_tier_share_is_refused_at_the_entrance_and_never_behind_it():
    for tier in (0, 1):
        made, port = balancer(tier=tier)
        made.throttling.tier.reduction, made.throttling.tier.valid_until = 1.0, T + S
        taken(made, 0)
        assert bool(port.of("send")) == bool(tier)


def test_turns_are_even_and_start_at_random():
    made, port = balancer(upstreams=4)
    for ref in range(40):
        taken(made, 0, ref=ref).attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sorted(note[2] for note in port.of("send")) == sorted([0, 1, 2, 3] * 10)


def test_upstreams_far_above_the_mean_in_flight_are_skipped():
    made, port = balancer(upstreams=3)
    made.selection.endpoints[0].in_flight.update(dict.fromkeys(range(9)))
    for ref in range(4):
        taken(made, 0, ref=ref)
    assert 0 not in {note[2] for note in port.of("send")}


def test_slow_upstream_in_time_gets_fewer_turns():
    made, port = balancer(upstreams=2)
    made.selection.endpoints[0].relative_latency, made.concurrency.limit = 4.0, 1e9
    for ref in range(50):
        taken(made, 2, ref=ref).client_disconnected(T)
        made.selection.endpoints[0].in_flight.clear()
        made.selection.endpoints[1].in_flight.clear()
    assert sum(note[2] == 0 for note in port.of("send")) == 10


def test_hung_upstream_is_set_aside_its_hops_called_off_and_probes_bring_it_back():
    made, port = balancer(upstreams=2)
    made.concurrency.mean_latency = made.usual[0] = 100 * MS
    request = taken(made, 0)
    u = request.attempts[0].endpoint
    made.outliers.last_answer_at = T + S
    made.timer_fired(T + 2 * S, 0)
    assert u.is_ejected and ("cancel", 1, 0) in port and made.concurrency.in_flight == 0
    made.timer_fired(T + 2 * S + 2 * made.tick, 0)
    assert ("check_health", u.index) in port
    request.attempt_finished(T + 2 * S, 0, Outcome.CANCELLED, S, False)
    assert port.of("send")[1][2] != u.index
    made.health_check_finished(T + 3 * S, u.index, Outcome.TIMED_OUT)
    assert u.is_ejected
    port.clear()
    for beats, probes in ((3, 0), (4, 1)):  # a probe that fails doubles the wait for the next
        made.timer_fired(T + 3 * S + beats * made.tick, 0)
        assert len(port.of("check_health")) == probes
    made.health_check_finished(T + 5 * S, u.index, Outcome.SUCCEEDED)
    made.usual[0] = S
    taken(made, 0, now=T + 5 * S, ref=9).attempt_finished(T + 6 * S, 0, Outcome.SUCCEEDED, S, True)
    assert not u.is_ejected and u.consecutive_failures == 0


def test_without_probes_one_hop_that_may_run_again_tries_what_was_set_aside():
    made, port = balancer(upstreams=2, can_health_check=False)
    made.usual[:] = [10 * MS] * 3
    made.outliers.eject(made.selection.endpoints[0], T)
    wait = max(made.throttling.validity, made.throttling.span << 1)
    made.timer_fired(T + wait - 1, 0)
    assert not made.outliers.awaiting_trial and not port.of("check_health")
    for outcome, back in ((Outcome.TIMED_OUT, False), (Outcome.SUCCEEDED, True)):
        now = T + wait
        made.timer_fired(now, 0)
        port.clear()
        taken(made, 2, now=now).client_disconnected(now)  # what must not run twice tries nothing
        tried, other = taken(made, 0, now=now, ref=2), taken(made, 0, now=now, ref=3)
        assert [note[2] for note in port.of("send")] == [1, 0, 1]  # one hop, no more
        tried.attempt_finished(now, 0, outcome, MS, back)
        other.attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
        assert made.selection.endpoints[0].is_ejected is not back
        wait += max(made.throttling.validity, made.throttling.span << 2)
    made.outliers.eject(made.selection.endpoints[1], T)
    made.timer_fired(T + LINGER * max(made.throttling.validity, made.throttling.span << 1), 0)
    assert not made.selection.endpoints[1].is_ejected  # only what must not run twice came by


def test_fast_failures_set_an_upstream_aside():
    made, _ = balancer()
    for u in (made.selection.endpoints[0], made.selection.endpoints[1]):
        u.entries[-1].sampled, u.entries[-1].failed = FLOOR, FLOOR * (u.index == 0)
    made.close_windows(T + S)
    assert made.selection.endpoints[0].is_ejected and not made.selection.endpoints[1].is_ejected


def test_crowd_is_bounded_from_the_start_and_the_valuable_go_last():
    worth = RequestClass(Effect.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 2 * S, 5 * S, 10.0, 0.5)
    made, _ = balancer(request_classes=(FREE, worth), instance_count=1)
    made.concurrency.in_flight = round(made.concurrency.limit) - 1
    assert taken(made, 0).is_finished and not taken(made, 1).is_finished
    assert taken(made, 1).is_finished


def test_crowd_shrinks_when_hops_take_long_but_not_under_what_each_bears():
    made, _ = balancer(upstreams=10)
    made.concurrency.least_latency_ratio, made.concurrency.latency_ratio, made.concurrency.in_flight = (
        0.2,
        0.8,
        40,
    )
    made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
    assert made.concurrency.is_overloaded and made.concurrency.limit == 20
    made.concurrency.in_flight = 4
    made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
    assert made.concurrency.limit == 20


def test_a_crowd_held_back_grows_faster_in_the_first_validity():
    for beats, grown in ((1, 15.0), (99, 12.5)):
        made, _ = balancer(instance_count=2, upstreams=4)
        (
            made.concurrency.ticks,
            made.concurrency.latency_ratio,
            made.concurrency.least_latency_ratio,
            made.concurrency.has_rejected,
        ) = beats, 0.1, 0.1, True
        made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
        assert made.concurrency.limit == grown


def test_one_of_many_balancers_has_room_for_chance_while_its_mean_crowd_is_under_the_bound():
    for balancers, crowd, over in ((1, 1.0, True), (9, 1.0, False), (9, 9.0, True)):
        made, _ = balancer(instance_count=balancers)
        made.concurrency.limit, made.concurrency.mean_in_flight, made.concurrency.in_flight = 4.0, crowd, 4
        assert taken(made, 0).is_finished == over


def test_slow_and_silent_upstreams_are_little_sign_of_a_crowd():
    for pace, heard, how, seen in (
        (1, T, 1, 1 / 2),
        (4, T, 1, 1 / 3),
        (1, T + 1, 4, 1 / 2),
        (1, T - S, 4, 0),
    ):
        made, _ = balancer()
        request = taken(made, 2)
        request.attempts[0].endpoint.relative_latency, request.attempts[0].endpoint.silent_since = pace, heard
        request.attempt_finished(T + S, 0, Outcome(how), S, True)
        assert abs(made.concurrency.latency_ratio - seen) < 1e-6


def test_a_failed_connect_sets_aside_only_what_has_not_answered_lately():
    for answered, ejected in ((T, False), (0, True)):
        made, port = balancer()
        request = taken(made, 2)
        request.attempts[0].endpoint.answered_at = answered
        request.attempt_finished(T + MS, 0, Outcome.UNREACHABLE, MS, False)
        assert (
            request.attempts[0].endpoint.is_ejected == ejected
            and made.throttling.tier.failed == 1
            and len(port.of("send")) == 2
        )


def test_late_hops_count_for_the_tier_only_in_a_crowd():
    for pressed in (False, True):
        made, _ = balancer()
        made.concurrency.is_overloaded = pressed
        taken(made, 0).attempt_finished(T, 0, Outcome.SUCCEEDED, FREE.latency_objective, True)
        assert made.throttling.tier.failed == pressed


def test_customer_beyond_its_share_gives_way_first():
    made, _ = balancer(tenant_quotas=(2.0, 2.0))
    values = [taken(made, 0, ref=n).priority for n in range(4)]
    assert values[0] == 1 and values[-1] == made.settings.over_quota_weight


def test_retries_after_hops_that_may_have_run_are_spent_from_first_hops():
    made, port = balancer()
    made.retry_budget = 0.5
    taken(made, 0).attempt_finished(T, 0, Outcome.FAILED, MS, False)
    assert len(port.of("send")) == 1 and port.of("reject")


def test_idle_connections_that_swallow_hops_are_closed_before_sending():
    made, port = balancer(upstreams=1)
    for n in range(TIER_FLOOR):
        made.selection.endpoints[0].last_ended_at = T - 3 * S
        taken(made, 2, ref=n).attempt_finished(T + S, 0, Outcome.TIMED_OUT, S, False)
    made.close_windows(T + S)
    made.selection.endpoints[0].is_ejected = False
    for entry in (made.throttling.tier, *made.selection.endpoints[0].entries):
        entry.reduction = 0.0
    for idle, closed in ((S, 0), (2 * S, 1)):
        made.selection.endpoints[0].last_ended_at = T + S - idle
        taken(made, 2, now=T + S, ref=99).attempt_finished(T + S, 0, Outcome.NOT_SENT, 0, False)
        assert len(port.of("close_idle_connections")) == closed


def test_a_few_resets_on_idle_connections_tell_as_much_as_many_time_outs():
    for resets, took, closed in (
        (0, MS, 0),
        (1, MS, 0),
        (2, MS, 1),
        (2, S // 2, 0),
    ):  # the last after an answer
        made, port = balancer(upstreams=1)
        made.concurrency.limit, made.usual = 1e9, [S, S, S]
        for n in range(TIER_FLOOR):
            outcome = Outcome.RESET if n < resets else Outcome.FAILED
            taken(made, 2, ref=n).attempt_finished(
                T, 0, outcome, took, False, S
            )  # the driver tells: it had idled
        made.close_windows(T + S)
        made.outliers.restore(made.selection.endpoints[0], T)
        made.selection.endpoints[0].entries[2].reduction = made.throttling.tier.reduction = 0.0
        for ref in (98, 99):  # the first finds the upstream just used, the second with others out
            taken(made, 2, ref=ref)
        assert [note[1:] for note in port.of("close_idle_connections")] == [(0, S // 2)] * closed


def test_a_balancer_with_few_hops_uses_the_highest_ranks_of_its_own():
    used = []
    for number in (0, 1, 0, -1):
        made, _ = balancer(upstreams=40, instance_index=number)
        made.selection.sent = 15
        made.close_windows(T + S)
        used.append({u.index for u in made.selection.selected})
    size = round(15 * VALIDITY_WINDOWS / FLOOR)  # each reaches its floor within a validity
    assert len(used[0]) == size and used[0] == used[2] != used[1] and len(used[3]) == 40
    made, port = balancer(upstreams=40)
    made.selection.subset_size = LEAST_SUBSET
    gone = made.selection.ready[0]
    made.outliers.eject(gone, T)
    assert len(made.selection.selected) == LEAST_SUBSET and gone not in made.selection.selected
    for ref in range(30):
        taken(made, 2, ref=ref).client_disconnected(T)
    assert {note[2] for note in port.of("send")} == {u.index for u in made.selection.selected}


def test_sets_load_all_upstreams():
    counts = [0] * 40
    for number in range(60):
        made, _ = balancer(upstreams=40, instance_count=60, instance_index=number)
        made.selection.subset_size = 5
        made.selection.select()
        for u in made.selection.selected:
            counts[u.index] += 1
    assert min(counts) > 0 and max(counts) < 3 * 60 * 5 / 40


def home_share(outcome, took, attempts=FLOOR, fee=0.1):
    """The share held against near upstreams once that many hops ended so, and the part that crosses."""
    made, port = balancer(cross_zone_cost=fee)
    for ref in range(attempts):
        taken(made, 2, ref=ref).attempt_finished(T, 0, outcome, took, True)
    assert {note[2] % 2 for note in port.of("send")} == {0}
    made.close_windows(T + S)
    for ref in range(100, 140):
        taken(made, 2, ref=ref, now=T + S).attempt_finished(T + S, 0, Outcome.SUCCEEDED, MS, True)
    far = sum(note[2] % 2 for note in port.of("send")) / 40
    return made.throttling.same_zone.valid_reduction(T + S), far


def test_the_share_that_near_upstreams_serve_too_badly_crosses_and_no_more():
    assert home_share(Outcome.SUCCEEDED, MS) == (0, 0)
    held, far = home_share(Outcome.SUCCEEDED, 2 * S)  # late
    assert round(held, 3) == 0.475 and 0.25 < far < 0.7  # half of what they miss beyond half the fee
    assert home_share(Outcome.REJECTED, MS, fee=2.0)[0] == 0


def test_that_share_adds_up_while_they_miss_and_eases_by_half_at_the_most():
    entry, shares = ThrottleEntry(), []
    for now, bad in enumerate((5, 5, 2, -1, -5), 1):
        entry.sampled, entry.failed = 5, bad
        entry.close_window(now * S, 5, 10 * S, 10 * S, adds=True)
        shares.append(round(entry.reduction, 2))
    assert shares == [0.5, 1.0, 1.0, 0.9, 0.45]


def test_a_balancer_that_waited_long_looks_with_half_the_floor_but_not_first():
    made, _ = balancer()
    made.concurrency.succeeded, made.concurrency.latency_ratio = TIER_FLOOR // 2, 0.9
    made.timer_fired(T + S, 0)
    assert not made.concurrency.adjusted_at
    made.concurrency.adjusted_at = T
    made.timer_fired(T + made.throttling.span - 1, 0)
    assert made.concurrency.adjusted_at == T
    made.timer_fired(T + made.throttling.span, 0)
    assert made.concurrency.adjusted_at > T


def test_one_costly_hop_tells_of_a_crowd_no_more_than_its_goal():
    made, _ = balancer()
    taken(made, 2).attempt_finished(T + S, 0, Outcome.SUCCEEDED, 40 * S, True)
    assert made.concurrency.latency_ratio == 1


def test_a_hop_that_timed_out_tells_of_its_upstreams_pace():
    made, _ = balancer(upstreams=1)
    made.usual[2] = 10 * MS
    taken(made, 2).attempt_finished(T, 0, Outcome.TIMED_OUT, 80 * MS, True)
    assert made.selection.ready[0].relative_latency > 2


def test_a_quiet_balancers_entries_stay_valid_for_as_long_as_the_floor_needs():
    made, _ = balancer()
    span, made.selection.sent = made.throttling.validity, 1
    made.close_windows(T + S)
    assert made.throttling.validity >= TIER_FLOOR * made.throttling.window > span


def test_a_start_among_many_balancers_uses_a_small_set_and_lets_in_the_root_of_its_part():
    made, _ = balancer(upstreams=40, instance_count=300)
    assert (
        len(made.selection.selected) == LEAST_SUBSET
        and abs(made.concurrency.limit - INITIAL_LIMIT * (40 / 300) ** 0.5) < 1e-9
    )
    assert balancer(upstreams=40, instance_count=20)[0].concurrency.limit == INITIAL_LIMIT * 2
    assert len(balancer(upstreams=40, instance_count=40)[0].selection.selected) == 40


def test_what_is_known_of_upstreams_holds_on_under_other_settings_and_the_rest_starts_afresh():
    old, _ = balancer(upstreams=4, request_classes=(FREE, ONCE), can_health_check=False)
    old.usual[:], old.concurrency.limit, old.retry_budget, old.outliers.fatal_idle_time = (
        [7 * MS, 9 * MS],
        99.0,
        5.0,
        S,
    )
    (
        old.selection.endpoints[0].relative_latency,
        old.selection.endpoints[2].started_at,
        old.selection.endpoints[2].relative_latency,
    ) = 3.0, T - S, 3.0
    old.outliers.eject(old.selection.endpoints[1], T)
    made, port = balancer(
        upstreams=4, instance_count=90, request_classes=(ONCE, MARKED, FREE), can_health_check=False
    )
    assert made.restore(old.snapshot(ends=True), [(0, 1), (2, 0)]) == 3
    assert made.usual == [9 * MS, 0, 7 * MS] and made.outliers.fatal_idle_time == S
    assert (
        made.selection.endpoints[0].relative_latency == 3
        and made.selection.endpoints[2].relative_latency == 1
    )  # started again: nothing holds
    assert made.concurrency.limit != 99 and made.retry_budget == 1
    made.selection.subset_size = 4
    made.selection.select()
    for ref in range(9):
        taken(made, 0, ref=ref).client_disconnected(T)
    assert 1 not in {note[2] for note in port.of("send")}  # set aside before, no rush now
    assert made.selection.endpoints[1].consecutive_failures == 1


def test_a_cold_upstream_set_aside_is_tried_within_its_budget():
    for budget, tried in ((0.5, 1), (1.0, 0)):
        made, port = balancer(upstreams=2, can_health_check=False)
        made.usual[0], cold = 10 * MS, made.selection.endpoints[0]
        (
            cold.is_ejected,
            cold.started_at,
            cold.slow_start_budget,
            cold.budget_filled_at,
            made.outliers.awaiting_trial,
        ) = True, T - S, budget, T, {cold: None}
        taken(made, 0)
        assert port.of("send")[0][2] == tried


def test_a_cold_upstream_has_one_budget_through_a_switch():
    old, before = balancer(upstreams=1, born=T, instance_count=1, can_health_check=False)
    made, port = balancer(upstreams=1, born=T, instance_count=1, can_health_check=False)
    old.selection.endpoints[0].slow_start_budget = made.selection.endpoints[0].slow_start_budget = 1.0
    made.restore(old.snapshot(ends=True), [])
    for ref in range(5):
        assert old.selection.warm_share(old.selection.endpoints[0], T + S) == 0
        taken(made, 0, ref=ref)
    assert len(port.of("send")) == 1


def test_same_seed_same_actions():
    logs = []
    for _ in range(2):
        made, port = balancer()
        made.throttling.tier.reduction, made.throttling.tier.valid_until = 0.5, T + S
        for ref in range(30):
            taken(made, 2, ref=ref)
        logs.append(list(port))
    assert logs[0] == logs[1]


def test_an_excluded_upstream_gets_no_hop_probe_or_try_and_comes_back_without_its_shares():
    made, port = balancer(upstreams=2, instance_count=1)
    u = made.selection.endpoints[0]
    made.outliers.eject(u, 100 * S)
    entry = u.entries[-1]
    entry.reduction, entry.valid_until = 1.0, 900 * S
    port.clear()
    made.update_endpoints(101 * S, [(0, EndpointState.EXCLUDED, 0, 1.0, 0, 0, b"0")], full=False)
    for n in range(9):
        made.timer_fired(101 * S + n * S, 0)
        taken(made, 0, now=101 * S + n * S, ref=n)
    assert {note[2] for note in port.of("send")} == {1} and not port.of("check_health")
    made.update_endpoints(120 * S, [(0, EndpointState.READY, 119 * S, 1.0, 0, 0, b"0")], full=False)
    assert not u.is_ejected and not u.consecutive_failures and not u.entries[-1].reduction


def test_two_processes_share_the_budget_of_a_cold_upstream_and_the_crowd_let_in():
    old, _ = balancer(upstreams=1, born=T)
    made, _ = balancer(upstreams=1, born=T)
    old.selection.endpoints[0].slow_start_budget, old.concurrency.limit = 1.0, 99.0
    made.restore(old.snapshot(ends=False), [(0, 0)])
    assert (
        old.selection.endpoints[0].slow_start_budget + made.selection.endpoints[0].slow_start_budget == 1
        and made.concurrency.limit == 99
    )


def test_what_another_process_has_in_flight_counts_in_the_crowd_let_in():
    made, port = balancer(upstreams=1, instance_count=1)
    made.concurrency.limit, made.concurrency.in_flight_elsewhere = 8.0, 8
    assert taken(made, 0).is_answered and not port.of("send")  # two processes let in what one may
    made.concurrency.in_flight_elsewhere = 0
    assert not taken(made, 0, ref=2).is_answered


def test_one_that_fails_quickly_is_set_aside_before_its_window_ends_and_at_once_when_it_is_back():
    made, _ = balancer()
    u, made.usual[2] = made.selection.endpoints[0], 100 * MS

    def fails():
        request = taken(made, 2)
        hop = request.attempts[0].endpoint
        hop.in_flight.pop(request)
        u.in_flight[request] = request.attempts[0]
        request.attempts[0].endpoint = u
        request.attempt_finished(T, 0, Outcome.FAILED, MS, False)

    for _ in range(FLOOR):
        assert not u.is_ejected
        fails()
    assert u.is_ejected
    made.health_check_finished(T + 100 * S, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected
    fails()
    assert u.is_ejected and u.consecutive_failures == 2


def test_a_slow_hop_gets_one_beside_it_at_another_upstream_and_the_first_to_commit_ends_both():
    made, port = balancer()
    request = taken(made, 0)
    first = port.of("send")[-1][2]
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert [len(port.of("send")), request.in_flight] == [2, 2] and port.of("send")[-1][2] != first
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 2  # never a third
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.SUCCEEDED, 200 * MS, True)
    assert port.of("cancel") and {note[2] for note in port.of("cancel")} == {0, 1} and not request.is_finished
    request.attempt_finished(100 * S + 500 * MS, 0, Outcome.CANCELLED, 500 * MS, True)
    assert request.is_finished and made.concurrency.in_flight == 0 and not port.of("reject")


def test_one_of_two_that_fails_leaves_the_other_to_answer():
    made, port = balancer()
    made.retry_budget = 5.0
    request = taken(made, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    request.attempt_finished(100 * S + 400 * MS, 0, Outcome.RESET, 400 * MS, False)
    assert request.in_flight == 1 and len(port.of("send")) == 2 and not port.of("reject")
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.FAILED, 200 * MS, False)
    assert len(port.of("send")) == 3  # its hops are not spent


def test_a_second_beside_it_costs_a_retry_and_needs_another_upstream():
    made, port = balancer()
    made.retry_budget = 0.5
    request = taken(made, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1 and len(port.of("send")) == 1
    alone, port = balancer(upstreams=1)
    request = taken(alone, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1
    alone.give_up(request)
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 1


def test_of_one_transaction_only_the_first_hop_tells_of_the_tier():
    made, _ = balancer()
    request = taken(made, 0)
    for number in range(3):
        request.attempt_finished(T, number, Outcome.REJECTED, MS, False)
    assert made.throttling.tier.sampled == made.throttling.tier.failed == 1


def dragging(others):
    """One profile fails at every upstream, the others as told."""
    made, port = balancer(can_health_check=False)
    made.concurrency.limit = 1e9
    for n in range(2 * TIER_FLOOR):
        taken(made, n % 2, ref=n).attempt_finished(T, 0, (Outcome.TIMED_OUT, others)[n % 2], S, n % 2 > 0)
    made.close_windows(T + S)
    for u in made.selection.ready:
        u.is_ejected = False
    made.selection.select()
    port.clear()
    return made, port


def test_a_profile_that_drags_everywhere_is_refused_its_share_and_costs_no_upstream_its_place():
    made, port = dragging(Outcome.SUCCEEDED)
    assert made.throttling.class_outliers == [True, False, False]
    made.concurrency.limit, made.concurrency.in_flight = 10.0, 0
    assert not taken(made, 0, now=T + S).is_finished  # there are places enough
    made.concurrency.in_flight, stretch, bad = (
        6,
        made.concurrency.latency_ratio,
        [u.entries[-1].failed for u in made.selection.ready],
    )
    port.clear()
    assert taken(made, 0, now=T + S).is_finished and port[-1][0] == "reject" and not port.of("send")
    made.throttling.classes[0].reduction, made.concurrency.mean_latency = 1 - OUTLIER_REDUCTION, MS
    while not port.of("send"):
        request = taken(made, 0, now=T + S)
    u = request.attempts[0].endpoint
    u.silent_since, made.outliers.last_answer_at = T, T + S
    made.timer_fired(T + 2 * S - 1, 0)
    assert not u.is_ejected  # silent, but nothing else is out there
    request.attempt_finished(T + 2 * S, 0, Outcome.TIMED_OUT, S, False)
    assert (
        made.concurrency.latency_ratio == stretch
        and [u.entries[-1].failed for u in made.selection.ready] == bad
    )
    made.throttling.classes[0].valid_until = 0  # lapsed: tried again
    port.clear()
    assert not taken(made, 0, now=T + 3 * S).is_finished


def test_where_all_profiles_fail_none_drags():
    assert dragging(Outcome.TIMED_OUT)[0].throttling.class_outliers == [False] * 3


def test_one_set_aside_again_is_brought_back_by_a_hop_that_may_run_again_not_by_its_probe():
    made, port = balancer(upstreams=2)
    made.usual[:] = [10 * MS] * 3
    u, now = made.selection.endpoints[0], T
    made.outliers.eject(u, now)
    made.health_check_finished(now, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected  # the first time its probe does
    made.outliers.eject(u, now)
    for outcome in (Outcome.TIMED_OUT, Outcome.SUCCEEDED):
        wait = made.tick << u.consecutive_failures
        made.timer_fired(now + wait - 1, 0)
        assert not port.of("check_health")
        now += wait
        made.timer_fired(now, 0)
        made.health_check_finished(now, 0, Outcome.SUCCEEDED)
        assert u.is_ejected
        port.clear()
        taken(made, 2, now=now, ref=5).client_disconnected(now)
        tried = taken(made, 0, now=now, ref=6)
        assert [note[2] for note in port.of("send")] == [1, 0]
        tried.attempt_finished(now + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        port.clear()
    assert not u.is_ejected and u.consecutive_failures == 0


def test_one_that_nothing_comes_by_to_try_is_brought_back_by_its_second_probe():
    made, _ = balancer(upstreams=2)
    u = made.selection.endpoints[0]
    made.outliers.eject(u, T)
    made.health_check_finished(T, 0, Outcome.TIMED_OUT)
    made.health_check_finished(T + S, 0, Outcome.SUCCEEDED)
    assert u.is_ejected
    made.health_check_finished(T + 2 * S, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected


def row(index, state=EndpointState.READY):
    return (index, state, 0, 1.0, 0, 0, b"%d" % index)


def test_where_only_draining_binds_one_gone_without_it_may_be_sent_to_for_as_long_as_it_answers():
    cases = (
        ([[row(1, EndpointState.REMOVED)]], True),
        ([[row(1, EndpointState.DRAINING)], [row(1, EndpointState.REMOVED)]], False),
        ([[row(1, EndpointState.REMOVED)], [row(1, EndpointState.DRAINING)]], False),
        ([[row(1, EndpointState.REMOVED)], [row(1, EndpointState.DRAINING)], [row(1)]], True),
        ([[row(1, EndpointState.EXCLUDED)], [row(1, EndpointState.REMOVED)]], False),
    )
    for lists, kept in cases:
        made, _ = balancer(upstreams=2, only_draining_binds=True)
        for rows in lists:
            made.update_endpoints(T, rows, full=False)
        assert (made.selection.endpoints.get(1) in made.selection.ready) is kept
    made, _ = balancer(upstreams=2, only_draining_binds=True, warmup_time=10 * S)
    made.update_endpoints(T, [row(0)], full=True)  # left out
    made.update_endpoints(T, [row(7, EndpointState.REMOVED)], full=False)  # never named by any list
    assert [u.index for u in made.selection.ready if u.is_listed] == [0] and set(
        made.selection.endpoints
    ) == {0, 1}
    made.selection.endpoints[1].answered_at = T
    made.close_windows(T + 10 * S)
    assert 1 in made.selection.endpoints
    made.close_windows(T + 10 * S + 1)
    assert set(made.selection.endpoints) == {0}
    bound, _ = balancer(upstreams=2)
    bound.update_endpoints(T, [row(1, EndpointState.REMOVED)], full=False)
    assert set(bound.selection.endpoints) == {0}


def test_where_a_late_answer_is_worth_nothing_a_hop_leaves_time_for_another_and_never_are_two_out():
    quote = RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 1_500 * MS, 1.0, 0.0)
    made, port = balancer(request_classes=(quote,), max_attempts=6)
    made.usual[0] = 30 * MS
    request = made.admit(T, 1, 0, 0, T + 1_500 * MS)
    assert port.of("send")[0][3] == 300 * MS  # half of what it may take at all
    request.attempt_finished(T + 300 * MS, 0, Outcome.TIMED_OUT, 300 * MS, False)
    assert [note[3] for note in port.of("send")] == [300 * MS, 300 * MS] and request.in_flight == 1
    request.attempt_finished(T + 600 * MS, 1, Outcome.TIMED_OUT, 300 * MS, False)
    assert request.is_finished and len(port.of("send")) == 2
