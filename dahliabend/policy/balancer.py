"""Every decision of one balancer, by loss throttling with held reduction percentages (docs/design.md).

Feed a `Balancer(settings, port, seed)` `listed`, `list_failed`, `probed` and `woken`; `take` gives a handle,
to be told `returned`, `begun`, `slow`, `left`. Types: `dahliabend/model.py`. Times are whole microseconds.
"""

from hashlib import blake2b
from random import Random

from dahliabend.model import DeduplicationScope, Effect, EndpointState, Outcome, Port, Settings
from dahliabend.policy.key_order import REST, Lines

BEAT = 1 / 4  # of the shortest service goal: how often health is looked at
WINDOW = 4  # beats in a window over which a metric is taken
VALIDITY = 5 / 2  # windows for which an entry unrenewed stays valid
STEP = 0.05  # a smaller change of a metric renews it, a larger one replaces it
TIER_FLOOR, FLOOR = 20, 5  # hops below which a window counts as zero, by scope
EASE = 1 / 2  # of a held metric, kept by each window that found nothing bad
LINGER = 4  # validities: how long the last percents of an eased share are renewed by clean windows
LATE = 3 / 4  # of the service goal: in a crowd, a hop slower than this counts as timed out
TARGET = 1 / 3  # of the service goal: hops that take more in the mean are a sign of a crowd
ROOM = 4 / 3, 3  # of the least such share seen: the target is kept between them
START, LEAST = 5, 4  # hops an upstream, all balancers together: the crowd let in at first, and always
GROW, RAMP, SHRINK = 5 / 4, 3 / 2, 1 / 2  # the most that it may change between looks; RAMP at first
EQUAL = 3 / 5  # of the crowd: let in whatever the revenue; above it the more valuable go first
SLOW = 3 / 2  # of the usual time: the most by which a slow upstream's hops tell less of the crowd
SILENT = 4  # of the tier's usual time, with hops out and nothing heard: the upstream is set aside
PATIENCE = 8  # of a profile's usual time, or half its goal: a hop that may be repeated waits no longer
UNWELL = 2 / 5  # a metric at which an upstream is set aside, where the tier holds less than half of that
SAVED = 10  # hops after one that may have run: as many as are kept of the settings' share of first hops
ADVICE = 1 / 4  # of the service goal: when a client rolled back is told to come back
MEMORY = 1 / 16  # weight of the newest sample in a running mean
RECENT = 1 / 6  # the same for the pace of an upstream, which gets few hops
SET = 2  # upstreams in use at the least, of each side of a zone border that costs
FORGET = 1 / 1024  # by which the least hop time seen creeps up at each look
# What holds on for decisions that follow: of an upstream, its start first, and of the crowd.
CARRIED = "born", "pace", "heard", "answered", "turn", "ejected", "since", "strikes", "budget", "filled"
CROWD = "ceiling", "crowd", "borne", "stretch", "low", "took", "beats", "pressed"


def blend(mean: float, sample: float, weight: float = MEMORY) -> float:
    """The running mean with one more sample; the first sample stands for itself."""
    return mean + (sample - mean) * weight if mean else sample


class Entry:
    """A reduction metric held for one scope, and the window that reads the next."""

    __slots__ = ("bad", "metric", "opened", "replaced", "tried", "until")

    def __init__(self) -> None:
        self.metric, self.until = 0.0, 0
        self.replaced = self.opened = self.tried = self.bad = 0

    def share(self, now: int) -> float:
        return self.metric if now < self.until else 0.0  # it is valid for a while

    def close(self, now: int, floor: int, validity: int, span: int, adds: bool = False) -> None:
        if now >= self.until:
            self.metric = 0.0  # lapsed unrenewed
        if self.tried < floor and now - self.opened < validity:
            return  # the window stays open: a quiet balancer reaches the floor later, not never
        if self.tried:  # an empty window neither replaces nor renews
            seen = self.bad / self.tried if self.tried >= floor else 0.0
            # Throttling thins the traffic read here: dropped at one clean window, load would return in waves.
            new = max(min(1.0, self.metric + seen * EASE) if adds else seen, self.metric * EASE)
            if abs(new - self.metric) >= STEP or not seen and now - self.replaced >= LINGER * span:
                self.metric = new if new > STEP else 0.0
                self.replaced = now
            self.until = now + validity
        self.tried = self.bad = 0
        self.opened = now


class Upstream:
    """The one record of an upstream."""

    def __init__(self, index: int, rank: bytes, profiles: int) -> None:
        self.index, self.rank, self.state, self.born = index, rank, EndpointState.REMOVED, -1
        self.weight, self.cell, self.zone, self.ejected = 1.0, 0, 0, False
        self.entries = [Entry() for _ in range(profiles + 1)]  # by profile; the last is the upstream's own
        self.held: dict[RequestState, Hop] = {}  # the hops out

    def begin(self, born: int, now: int, chance: float) -> None:
        """A process just started, or seen for the first time: nothing known of an earlier one holds."""
        self.born, self.pace = born, 1.0
        self.entries = [Entry() for _ in self.entries]
        self.turn = self.budget = chance  # a random start, else all balancers turn to it at once
        self.heard = self.filled = self.ended = now
        self.ejected, self.sounding, self.since, self.strikes, self.answered = False, False, 0, 0, 0


class Hop:
    """One sending of a transaction. Cell and zone are kept as they were then: its group remembers it."""

    __slots__ = ("cell", "idle", "may_have_executed", "sent", "upstream", "zone")

    def __init__(self, upstream: Upstream, now: int) -> None:
        self.upstream, self.sent, self.cell, self.zone = upstream, now, upstream.cell, upstream.zone
        self.may_have_executed, self.idle = True, 0 if upstream.held else now - upstream.ended


class RequestState:
    """The handle of a transaction taken."""

    def __init__(self, home, ref: int, profile: int, deadline: int, body_pending: bool, key=0) -> None:
        self.body_pending, self.spent, self.flowing, self.twins = (
            body_pending,
            False,
            False,
            0,
        )  # twins: beside another
        self.home, self.ref, self.profile, self.deadline, self.key = home, ref, profile, deadline, key
        self.request_class, self.value = home.profiles[profile], home.values[profile]
        self.attempts, self.out, self.done, self.most = (
            [],
            0,
            False,
            self.request_class.max_attempts or home.max_attempts,
        )

    @property
    def is_finished(self) -> bool:
        return self.done and not self.out

    def first_possibly_executed(self) -> Hop | None:
        """The first hop that may have run, or is still out."""
        return next((hop for hop in self.attempts if hop.may_have_executed), None)

    def repeatable(self, now: int) -> bool:
        """May it be sent again? None has an effect twice, and never are two hops out at once."""
        risk, effect = self.first_possibly_executed(), self.request_class.effect
        if (
            self.spent
            or self.out
            or 0
            <= self.request_class.max_retries_after_execution
            < sum(hop.may_have_executed for hop in self.attempts)
        ):
            return False
        journalled = (
            effect is Effect.DEDUPLICATED
            and risk
            and now < risk.sent + self.request_class.deduplication_window
        )
        return not risk or effect is Effect.IDEMPOTENT or journalled

    def attempt_finished(
        self, now, number: int, outcome: Outcome, took: int, complete: bool, idle=None
    ) -> None:
        hop = self.attempts[number]
        hop.idle = hop.idle if idle is None else idle  # of its connection, where the driver can tell
        hop.may_have_executed, self.out = not outcome.proves_not_executed, self.out - 1
        if hop.idle and not self.done:
            unheard = outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and now - hop.upstream.heard >= took
            cut = outcome is Outcome.RESET and took < self.home.usual[self.profile] * STEP
            self.home.learn_rested(hop.idle, round(UNWELL / STEP) if cut else unheard)
        self.done = self.done or complete
        if self.key and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.home.lines.unsure(self, now)
        self.home.learn(now, self, hop.upstream, outcome, took)
        if not self.done and not self.out:
            self.home.resend(self, now, outcome)
        elif self.done and self.out:
            self.home.call_off(self)
        self.end_turn(now)

    def response_started(self, now: int, number: int) -> None:
        """A streamed answer has started: the client has it, so its hop is not called off any more."""
        self.flowing = True
        self.home.let_out(self, self.attempts[number].upstream)

    def body_consumed(self) -> None:
        self.spent = True  # a part of its body is gone: there is nothing whole to send once more

    def body_received(self, now: int, deadline: int) -> int:
        """The hop out has had the last byte: it begins now, whatever the sending took. Its time-out."""
        self.body_pending, self.deadline, hop = False, self.home.limit(self, now, deadline), self.attempts[-1]
        hop.sent = now
        self.home.let_in(self, hop)
        return self.home.attempt_timeout(self, now)

    def hedge_timer_fired(self, now: int) -> None:
        """The hop out is slow: a second beside it, where hops and retries are left for one."""
        home, may = self.home, self.out == 1 and len(self.attempts) < self.most and now < self.deadline
        u = home.choose(self, now) if may and home.credit >= 1 and not (self.done or self.flowing) else None
        if u and all(hop.upstream is not u for hop in self.attempts):
            home.credit, self.twins = home.credit - 1, 1
            home.dispatch(self, u, now)

    def client_disconnected(self, now: int) -> None:
        self.done = True
        self.home.call_off(self)
        self.end_turn(now)

    def end_turn(self, now: int) -> None:
        if self.key and self.is_finished:
            self.home.lines.leave(self, now)


class Balancer:
    def __init__(self, settings: Settings, port: Port, seed: int) -> None:
        s, self.port, self.chance, self.instance_count = (
            settings,
            port,
            Random(seed).random,
            settings.instance_count,
        )
        self.profiles, self.max_attempts, self.zone = s.request_classes, s.max_attempts, s.zone
        self.can_cancel, self.can_health_check = s.can_cancel, s.can_health_check
        self.entrance = s.tier == 0  # calls of the tiers behind are work already paid for
        self.only_draining_binds, self.may_try = (
            s.only_draining_binds,
            any(p.effect is Effect.IDEMPOTENT for p in s.request_classes),
        )
        self.fee, self.excess, self.retries = s.cross_zone_cost, s.over_quota_weight, s.retry_budget_ratio
        self.advice, self.ask_again = (
            s.max_retry_after * s.sends_retry_after,
            s.poll_deadline // 8 * s.polls_endpoints,
        )
        self.cold_from, self.warmup_time, self.cold_excess = (
            s.initial_capacity,
            s.warmup_time,
            s.warmup_multiple / 2,
        )
        self.beat = max(1000, round(min(p.latency_objective for p in s.request_classes) * BEAT))
        self.window = self.beat * WINDOW
        self.span = self.validity = round(self.window * VALIDITY)  # the least, and as long as the floor needs
        self.shape = [s.instance_count, s.tier, self.window]
        top = max(p.priority_weight for p in s.request_classes) or 1.0
        # Revenue decides the less, the more the worst-served profile weighs beside the whole.
        bias = s.overall_weight / ((s.overall_weight + s.worst_class_weight) or 1.0)
        self.values = [1 - bias * (1 - p.priority_weight / top) for p in s.request_classes]
        self.rates = [(a or 1e12) / s.instance_count / 1e6 for a in s.tenant_quotas]  # its part of each share
        self.spare = [(rate * self.window, 0) for rate in self.rates]
        self.upstreams: dict[int, Upstream] = {}  # those listed, by index
        self.ready, self.near, self.far = [], [], []  # the highest ranks first; far: where crossing costs
        self.using, self.abroad = [], []  # the sets in use of near and of far ones
        self.trials: dict[Upstream, None] = {}  # set aside for long enough to be tried
        self.instance_index, self.reach, self.most = (
            s.instance_index,
            0,
            1,
        )  # upstreams in use, and ever ready at once
        self.tier, self.home, self.rested, self.gap = Entry(), Entry(), Entry(), 0.0
        self.usual = [0.0] * len(s.request_classes)  # the mean hop time, by profile
        self.kinds = [Entry() for _ in s.request_classes]  # of the whole tier with one profile
        self.drags = [False] * len(s.request_classes)  # does it fail at every upstream, and others not?
        self.took = self.stretch = self.low = self.mean_value = 0.0  # over all
        # Hops in flight, but for those at upstreams set aside; how many are let in, found, were served well.
        self.out, self.ceiling, self.crowd, self.borne, self.others = (
            0,
            0.0,
            0.0,
            0.0,
            1 - 1 / s.instance_count,
        )
        self.weighed = self.served = self.last_heard = self.beats = self.sent = self.first_tries = 0
        self.held_back, self.pressed, self.awake, self.beside = False, False, False, 0  # hops of its twin
        self.send_rate, self.credit = 0.0, 1.0  # hops a microsecond; retries to spend
        self.lines = Lines(s.key_rest, port)

    def update_endpoints(self, now: int, rows, full: bool) -> None:
        if not self.awake:
            self.awake, self.tier.opened = True, now
            self.port.set_timer(now + self.beat, 0)
            if self.ask_again:
                self.port.poll_endpoints()
        gone = {row[0] for row in rows if row[1] is EndpointState.REMOVED}
        gone |= self.upstreams.keys() - {row[0] for row in rows} if full else set()
        for index, state, born, weight, cell, zone, ident in (row for row in rows if row[0] not in gone):
            if index not in self.upstreams:
                rank = blake2b(ident, key=b"%d" % self.instance_index, digest_size=8).digest()
                self.upstreams[index] = Upstream(index, rank, len(self.profiles))
            u = self.upstreams[index]
            if born != u.born:
                self.out += len(u.held) if u.ejected else 0
                u.begin(born, now, self.chance())
            u.state, u.cell, u.zone, u.listed = state, cell, zone, True
            u.weight = weight if weight > 0 else 1.0
        for u in (self.upstreams[index] for index in gone & self.upstreams.keys()):
            u.listed = False
            # Where only draining binds, a wrong list would take out what serves: kept while it answers.
            u.state = (
                u.state
                if self.only_draining_binds and u.state is EndpointState.READY
                else EndpointState.REMOVED
            )
        self.arrange()

    def arrange(self) -> None:
        # Hops still out keep the record of one that is gone until they end.
        self.upstreams = {i: u for i, u in self.upstreams.items() if u.state is not EndpointState.REMOVED}
        ready = (u for u in self.upstreams.values() if u.state is EndpointState.READY)
        self.ready = sorted(ready, key=lambda u: u.rank, reverse=True)
        self.near = [u for u in self.ready if not self.fee or u.zone == self.zone]
        self.far = [u for u in self.ready if self.fee and u.zone != self.zone]
        self.most = max(self.most, len(self.ready))
        # Of more balancers than upstreams each has but a part of a hop for one: the root leaves it chance.
        part = len(self.ready) / self.instance_count
        self.ceiling = self.ceiling or START * max(part, part**0.5)
        # Connections opened to all by very many balancers at once would leave none for most of them.
        self.reach = self.reach or max(SET, self.most if self.most >= self.instance_count else 0)
        self.narrow()

    def snapshot(self, ends: bool) -> dict:
        """What is known, in plain values; `ends`: these take nothing more. A cold upstream has one budget."""
        upstreams = {}
        for index, u in self.upstreams.items():
            u.budget /= 1 if ends else 2
            upstreams[index] = [getattr(u, name) for name in CARRIED]
            u.budget = float("-inf") if ends else u.budget
        known = {"shape": self.shape, "usual": self.usual, "gap": self.gap, "upstreams": upstreams}
        return known | {"crowd": [getattr(self, name) for name in CROWD]}

    def restore(self, known: dict, same: list[tuple[int, int]]) -> int:
        """Takes over from others; `same` pairs the profiles. Returns of how many upstreams it holds on."""
        for profile, was in same:
            self.usual[profile] = known["usual"][was]
        self.gap, kept = known["gap"], 0
        if known["shape"] == self.shape:  # the crowd let in would grow anew from its start
            for name, value in zip(CROWD, known["crowd"], strict=True):
                setattr(self, name, value)
        for index, values in known["upstreams"].items():
            u = self.upstreams.get(index)
            if u is not None and u.born == values[0]:  # the same process still
                kept += 1
                for name, value in zip(CARRIED, values, strict=True):
                    setattr(u, name, value)
        self.narrow()
        return kept

    def narrow(self) -> None:
        """The set in use: the highest ranks, as many as this balancer's few hops can tell of."""
        reach = self.reach if self.instance_index >= 0 else None
        self.using = [u for u in self.near if not u.ejected][:reach]
        self.abroad = [u for u in self.far if not u.ejected][:reach]

    def endpoint_poll_failed(self, now: int) -> None:
        if self.ask_again:  # after a while, at random: a registry that failed under load is not stormed
            self.port.set_timer(now + round(self.ask_again * (1 + self.chance()) / 2), 1)

    def admit(
        self, now, ref, profile, customer, deadline, repeat=False, body_pending=False, key=0
    ) -> RequestState:
        key = key if self.profiles[profile].is_ordered else 0
        request = RequestState(self, ref, profile, deadline, body_pending, key)
        self.first_tries += not repeat
        if self.entrance:
            request.deadline = deadline if body_pending else self.limit(request, now, deadline)
            if customer < len(self.rates) and not self.inside_share(customer, now):
                request.value *= (
                    self.excess
                )  # turned away first: else one customer's burst costs all the others
            self.mean_value = blend(self.mean_value, request.value)
            limit = self.ceiling * (EQUAL + (1 - EQUAL) * request.value)
            # Crowded upstreams choke before they refuse. Room for chance: many balancers have few hops each.
            out = self.out + self.beside
            self.crowd = blend(self.crowd, out)
            if out >= limit + ((limit * self.others) ** 0.5 if self.crowd < limit else 0.0):
                self.held_back = True
                self.give_up(request)
                return request
        ahead = self.lines.ahead(key) if key else 0
        wait = round(ahead * self.usual[profile])
        if ahead and (body_pending or request.deadline - now <= wait + self.least(request)):
            self.give_up(
                request, wait
            )  # a popular key's line would grow beyond what can still be served in time
        elif not key or self.lines.join(request):
            self.send(request, now)
            request.end_turn(now)
        return request

    def least(self, request: RequestState) -> int:  # of its time, that has to be left at its turn
        return max(self.beat, round(self.usual[request.profile]))

    def limit(self, request: RequestState, now: int, deadline: int) -> int:
        """An answer after the goal may be worth nothing: then no work for it."""
        worthless = self.entrance and not request.request_class.late_weight
        return min(deadline, now + request.request_class.latency_objective) if worthless else deadline

    def inside_share(self, customer: int, now: int) -> bool:
        rate, (left, then) = self.rates[customer], self.spare[customer]
        left = min(max(1.0, rate * self.window), left + rate * (now - then))
        self.spare[customer] = (left - (left >= 1), now)
        return left >= 1

    def send(self, request: RequestState, now: int) -> None:
        if now >= request.deadline or len(request.attempts) >= request.most or not request.repeatable(now):
            return self.give_up(request)
        dragging = self.kinds[request.profile].share(now) if self.drags[request.profile] else 0.0
        if dragging and self.out >= EQUAL * self.ceiling and self.chance() < dragging:
            # It would hold places until it fails too, here and above, and choke what serves the others.
            return self.give_up(request)
        u = self.try_aside(request, now) or self.choose(request, now)
        if u and not request.attempts:
            entry = self.governing(u, request.profile, now)
            if entry is not self.tier and self.chance() < entry.share(now):
                clean = self.choose(request, now, clean=True)
                # Where all hold shares none is in trouble alone: each refusing its own would spare nobody.
                u, entry = (clean, entry) if clean else (u, self.tier)
            # Behind the entrance a refusal wastes the work done above.
            if entry is self.tier and self.entrance and (share := entry.share(now)):
                u = None if self.chance() < share * (1 + self.mean_value - request.value) else u
        if not u:
            return self.give_up(request)
        self.credit = self.credit if request.attempts else min(SAVED, self.credit + self.retries)
        self.dispatch(request, u, now)

    def attempt_timeout(self, request: RequestState, now: int) -> int:
        attempt_timeout = min(
            request.deadline - now, request.request_class.attempt_timeout or request.deadline - now
        )
        if (
            self.usual[request.profile]
            and not self.tier.metric
            and self.credit >= 1
            and self.may_follow(request)
        ):
            attempt_timeout = min(attempt_timeout, self.patience(request))
        return max(1, attempt_timeout)

    def try_aside(self, request: RequestState, now: int) -> Upstream | None:
        """A hop that may run again tells if one set aside answers, whatever probes say; others cost more."""
        fit = (
            request.request_class.effect is Effect.IDEMPOTENT
            and not request.attempts
            and self.usual[request.profile]
        )
        if not self.trials or not fit:
            return None
        u = self.trials.popitem()[0]
        # All balancers may try a cold one in the same second: its budget holds for tries too.
        return (
            u if u.ejected and u.state is EndpointState.READY and not u.held and self.warmth(u, now) else None
        )

    def may_follow(self, request: RequestState) -> bool:
        return (
            request.request_class.effect is not Effect.NON_IDEMPOTENT
            and len(request.attempts) < request.most
            and not request.spent
        )

    def patience(self, request: RequestState) -> int:
        return max(
            request.request_class.latency_objective // 2, round(PATIENCE * self.usual[request.profile])
        )

    def governing(self, u: Upstream, profile: int, now: int) -> Entry:
        """The finest entry that holds a share; the tier's where the upstream has none."""
        return next((e for e in (u.entries[profile], u.entries[-1]) if e.share(now)), self.tier)

    def choose(self, request: RequestState, now: int, clean: bool = False) -> Upstream | None:
        """Smooth weighted rotation over those not far above the mean in flight, the near ones first."""
        risk = (
            request.first_possibly_executed() if request.request_class.effect is Effect.DEDUPLICATED else None
        )
        used = [hop.upstream for hop in request.attempts]
        # Crossing zones is priced: for the share that the near ones serve too badly, or for want of them.
        out = self.abroad and self.chance() < self.home.share(now)
        first, second = (self.abroad, self.using) if out else (self.using, self.abroad)
        for pool, careful in (first, True), (second, True), (self.ready, True), (self.ready, False):
            well, total, best = [u for u in pool if not u.ejected], 0.0, None
            weights, loads = sum(u.weight for u in well), sum(len(u.held) for u in well)
            mean = loads / weights if weights else 0.0
            for u in pool:
                if careful and (u.ejected or u in used) or risk and not self.same_group(request, u, risk):
                    continue
                # A slow upstream that answers in time shows no refusals: its turn shrinks with its pace.
                weight = u.weight / u.pace
                if u.born:  # the list tells of its start: it may be cold
                    weight *= self.warmth(u, now)
                if not weight or careful and len(u.held) > mean * weight:
                    continue
                if clean and (not u.entries[-1].until or self.governing(u, request.profile, now).share(now)):
                    continue  # one not yet heard counts at the others' mean, which is not zero here
                u.turn += weight
                total += weight
                if best is None or u.turn > best.turn:
                    best = u
            if best is not None:
                best.turn -= total
                return best
        return None

    def same_group(self, request: RequestState, u: Upstream, risk: Hop) -> bool:
        group = request.request_class.deduplication_scope
        return group is DeduplicationScope.ALL or (
            u.cell == risk.cell if group is DeduplicationScope.CELL else u.zone == risk.zone
        )

    def warmth(self, u: Upstream, now: int) -> float:
        """The least share of its capacity that an upstream has; 0 if it is cold and its budget is spent."""
        if not u.born or now - u.born >= self.warmup_time:
            return 1.0
        # All must not push it over: each sends that share of half the multiple of its mean rate, one by one.
        warm = self.cold_from + (1 - self.cold_from) * max(0, now - u.born) / self.warmup_time
        rate = self.send_rate / self.most * warm * self.cold_excess
        u.budget = min(1.0, u.budget + (now - u.filled) * rate)
        u.filled = now
        return warm if u.budget >= 1 else 0.0

    def dispatch(self, request: RequestState, u: Upstream, now: int) -> None:
        u.budget -= 1
        hop = Hop(u, now)
        if self.rested.share(now) >= UNWELL and (u.held or hop.idle >= self.gap / 2):
            self.port.close_idle_connections(u.index, round(self.gap / 2))
            hop.idle = 0  # tells nothing of idle connections any more
        if not request.body_pending:  # nothing runs there before the last byte
            self.let_in(request, hop)
        self.sent += 1
        request.out += 1
        request.attempts.append(hop)
        self.port.send(request.ref, u.index, self.attempt_timeout(request, now))

    def let_in(self, request: RequestState, hop: Hop) -> None:
        u = hop.upstream
        u.heard = u.heard if u.held else hop.sent
        u.held[request] = hop
        self.out += not u.ejected

    def let_out(self, request: RequestState, u: Upstream) -> None:
        self.out -= u.held.pop(request, None) is not None and not u.ejected

    def resend(self, request: RequestState, now: int, outcome: Outcome) -> None:
        costs = not outcome.proves_not_executed  # retries multiply across tiers
        if outcome is Outcome.NOT_SENT or costs and self.credit < 1:
            return self.give_up(request)
        self.credit -= costs
        self.send(request, now)

    def give_up(self, request: RequestState, wait: int = 0) -> None:
        request.done = True
        self.call_off(request)
        known = (
            request.request_class.effect is Effect.DEDUPLICATED
            and request.request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if (
            request.request_class.effect is Effect.IDEMPOTENT
            or known
            or not request.first_possibly_executed()
        ):  # harmless to try again
            self.port.reject(
                request.ref,
                min(self.advice, max(wait, round(request.request_class.latency_objective * ADVICE))),
            )
        else:
            self.port.fail(request.ref)

    def call_off(self, request: RequestState) -> None:
        if self.can_cancel and request.out and not request.flowing:
            for number in range(len(request.attempts) - 1 - request.twins, len(request.attempts)):
                self.port.cancel(request.ref, number)

    def learn_rested(self, idle: int, lost: int) -> None:
        """Idle connections may die unseen and swallow the next hop: past half that gap they are closed."""
        self.gap = blend(self.gap, idle, RECENT) if lost else self.gap
        if lost or self.gap and idle >= self.gap / 2:
            self.rested.tried += lost or 1
            self.rested.bad += lost

    def learn(self, now: int, request: RequestState, u: Upstream, outcome: Outcome, took: int) -> None:
        self.let_out(request, u)
        u.ended = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED):
            u.heard = u.answered = self.last_heard = now
        bad = outcome is not Outcome.SUCCEEDED  # quick failures too: an upstream failing fast draws load
        usual = self.usual[request.profile]
        if usual and outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT):
            u.pace = blend(u.pace, min(took / usual, SAVED), RECENT)
        if not bad:
            self.usual[request.profile] = blend(usual, took)
            self.took = blend(self.took, took)
            self.served, u.strikes = self.served + 1, 0
        # One profile that drags everywhere, by what it waits for, is no upstream's fault, and no crowd.
        kind = self.kinds[request.profile]
        kind.tried, kind.bad = kind.tried + 1, kind.bad + (bad and not outcome.proves_not_executed)
        if u.ejected and now - took > u.since and not (bad and self.drags[request.profile]):
            u.since, u.strikes = now, u.strikes + bad  # a try; what was sent before says nothing new
            if not bad:
                self.bring_back(u, now)
        if self.drags[request.profile]:
            return
        # One slow or silent upstream is hardly a crowd, and throttling the tier would not mend it.
        if outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT) and u.heard > now - took:
            # Nor is one costly hop among few: none tells of more than its whole goal.
            slowness = min(1.0, took / request.request_class.latency_objective) / max(1.0, min(u.pace, SLOW))
            self.stretch = blend(self.stretch, slowness)
        bad = bad or self.pressed and took > LATE * request.request_class.latency_objective
        for entry in (u.entries[request.profile], u.entries[-1]):
            entry.tried += 1
            entry.bad += bad
        # Quick failures draw load until the window's end, and again whenever one that answers probes is back.
        unwell = u.entries[-1].tried >= FLOOR and u.entries[-1].bad >= UNWELL * u.entries[-1].tried
        quick = outcome is Outcome.FAILED and took < usual * STEP
        if quick and (u.strikes or unwell) and self.tier.metric < UNWELL / 2:
            self.eject(u, now)
        if self.fee and u.zone == self.zone:
            self.home.tried += 1
            self.home.bad += (bad or took > LATE * request.request_class.latency_objective) - self.fee * EASE
        # One slow or costly hop says nothing of the tier: time-outs count only while hops take long.
        # Of one transaction the first hop tells: one that finds five full in a row would count as five.
        if request.attempts[0].upstream is u:
            self.tier.tried += 1
            self.tier.bad += bad and (self.pressed or outcome.proves_not_executed)
        # One that takes no new connection but answers on open ones is full: set aside, those would close too.
        if outcome is Outcome.UNREACHABLE and now - u.answered >= self.validity:
            self.eject(u, now)

    def eject(self, u: Upstream, now: int) -> None:
        if not u.ejected:
            u.ejected, u.since, u.strikes = True, now, u.strikes + 1
            self.out -= len(u.held)  # what hangs there is no crowd elsewhere
            self.narrow()

    def health_check_finished(self, now: int, index: int, outcome: Outcome) -> None:
        if u := self.upstreams.get(index):
            u.sounding = False
            if u.ejected and outcome is not Outcome.SUCCEEDED:
                u.since, u.strikes = now, u.strikes + 1  # probed at each beat by all, probes are load too
            elif u.ejected and self.may_try and u.strikes > 1 and u not in self.trials:
                self.trials[u] = None  # found so again, and untried: back as it is, not out for good
            elif u.ejected:
                self.bring_back(u, now)

    def add_peer_report(self, index: int, tried: int, bad: int) -> None:
        """Hops of others there, so many as are believed: in its window they count as own ones do."""
        if u := self.upstreams.get(index):
            u.entries[-1].tried, u.entries[-1].bad = u.entries[-1].tried + tried, u.entries[-1].bad + bad

    def bring_back(self, u: Upstream, now: int) -> None:
        u.ejected, u.heard, u.entries[-1].metric = False, now, 0.0
        self.out += len(u.held)
        self.narrow()

    def timer_fired(self, now: int, token: int) -> None:
        if token:
            return self.lines.timer_fired(now) if token == REST else self.port.poll_endpoints()
        self.port.set_timer(now + self.beat, 0)
        self.beats += 1
        for request in self.lines.waiting():
            if request.deadline - now <= request.home.least(
                request
            ):  # unsent at its limit it would have no answer in time
                request.home.give_up(request)
                request.end_turn(now)
        for u in self.ready:
            if u.ejected:
                waited, times = now - u.since, min(u.strikes, 5 if self.can_health_check else 6)
                wait = self.beat << times if self.can_health_check else max(self.validity, self.span << times)
                if waited >= wait and self.can_health_check and not u.sounding:
                    u.sounding = True
                    self.port.check_health(u.index)
                elif waited >= LINGER * wait and not self.can_health_check:
                    self.bring_back(u, now)  # nothing came by that may run again
                elif waited >= wait and not self.can_health_check:
                    self.trials[u] = None
            elif self.last_heard > u.heard and now - u.heard > SILENT * self.took + self.beat:
                # Hung upstreams are silent until time-outs: others answer, this one does not.
                if not all(self.drags[request.profile] for request in u.held):
                    self.eject(u, now)
                for request, hop in tuple(u.held.items()) if u.ejected else ():
                    if (
                        not request.done
                        and self.may_follow(request)
                        and now - hop.sent >= self.patience(request)
                    ):
                        self.call_off(request)
        looked = now - self.weighed
        enough = self.floor(looked) if self.weighed else TIER_FLOOR  # a full one for the first look
        if self.served >= enough and looked >= max(self.window // 2, 2 * self.took):
            self.weigh_crowd(now)
        if self.beats % WINDOW == 0:
            self.close_window(now)

    def floor(self, since: int) -> int:
        return TIER_FLOOR if since < self.span else TIER_FLOOR // 2  # a crowd would not wait for the whole

    def weigh_crowd(self, now: int) -> None:
        """Sets the crowd let in by how long hops take; a change shows only after a hop's time or two."""
        self.low = min(self.stretch, self.low * (1 + FORGET)) if self.low else self.stretch
        change = max(min(TARGET, ROOM[1] * self.low), ROOM[0] * self.low) / self.stretch
        self.pressed = change < 1
        if self.pressed:
            self.ceiling = max(SHRINK, change) * min(self.ceiling, max(self.out, self.crowd))
        else:
            self.borne = blend(self.borne, self.out + self.beside)
            if self.held_back:
                self.ceiling *= min(RAMP if self.beats <= WINDOW * VALIDITY else GROW, change)
        self.ceiling = max(self.ceiling, LEAST * len(self.ready) / self.instance_count, self.borne / 2)
        self.served, self.held_back, self.weighed = 0, False, now

    def close_window(self, now: int) -> None:
        self.tier.close(now, self.floor(now - self.tier.opened), self.validity, self.span)
        self.home.close(now, FLOOR, self.validity, self.span, adds=True)
        self.rested.close(now, TIER_FLOOR, LINGER * self.validity, LINGER * self.validity)
        for kind in self.kinds:
            kind.close(now, TIER_FLOOR // 2, self.validity, self.span)
        clean = any(kind.until > now and kind.metric < UNWELL / 2 for kind in self.kinds)
        self.drags = [clean and kind.share(now) >= 1 - UNWELL for kind in self.kinds]
        # What has not answered for as long as a start takes has nothing to speak for it but an old list.
        if stale := [u for u in self.ready if not u.listed and now - u.answered > self.warmup_time]:
            for u in stale:
                u.state = EndpointState.REMOVED
            self.arrange()
        some_warm = any(now - u.born >= self.warmup_time for u in self.ready)
        for u in self.ready:
            for entry in u.entries:
                entry.close(now, FLOOR, self.validity, self.span)
            own = u.entries[-1].metric
            if own >= UNWELL and self.tier.metric < own / 2:
                self.eject(u, now)
        # With nothing warm to send to, what is sent says nothing of what could be; first tries do.
        seen = (self.sent if some_warm else self.first_tries) / self.window
        self.send_rate += (seen - self.send_rate) / 4 if self.send_rate else seen
        self.sent = self.first_tries = 0
        # All are used if each is come to within a validity; if not, a set of which each reaches the floor.
        hops = self.send_rate * self.span
        self.validity = round(VALIDITY * max(self.window, TIER_FLOOR / (self.send_rate or TIER_FLOOR)))
        reach = self.most if hops >= self.most else max(SET, round(hops / FLOOR))
        if abs(reach - self.reach) > self.reach / 4:
            self.reach = reach
            self.narrow()
