"""Every decision of one balancer, by loss throttling with held reduction percentages (docs/design.md).

Build a `Balancer(settings, port, seed)`; it acts through the port. Feed it `listed`, `list_failed`, `probed`,
`woken` and `heard`; `take` a transaction to get its handle, and tell the handle `returned`, `begun`, `left`.
Its interface (settings, outcomes, `Port`) stands in `dahliabend/model.py`. Times are whole microseconds.
"""

from random import Random

from dahliabend.model import Effect, Group, Outcome, Port, Settings, State

BEAT = 1 / 4  # of the shortest service goal: how often health is looked at
WINDOW = 4  # beats in a window over which a metric is taken
VALIDITY = 5 / 2  # windows for which an entry unrenewed stays valid
STEP = 0.05  # a smaller change of a metric renews it, a larger one replaces it
TIER_FLOOR, FLOOR = 20, 5  # hops below which a window counts as zero, by scope
EASE = 1 / 2  # of a held metric, kept by each window that found nothing bad
LATE = 3 / 4  # of the service goal: a hop slower than this counts as timed out
TARGET = 2 / 5  # of the service goal: hops that take more in the mean are a sign of a crowd
ROOM = 4 / 3, 3  # of the least such share seen: the target is kept between them
START, LEAST = 5, 4  # hops an upstream, all balancers together: the crowd let in at first and whatever happens
GROW, SHRINK = 5 / 4, 1 / 2  # the most that a crowd held back may change between two looks
SKIP = 5 / 4  # of the mean in flight: an upstream above it is skipped
SLOW = 3 / 2  # of the tier's usual time: an upstream slower than this has its weight cut in proportion
SILENT = 4  # of the tier's usual time, with hops out and nothing heard: the upstream is set aside
PATIENCE = 4  # of a profile's usual time: a hop that may be repeated waits no longer
UNWELL = 2 / 5  # a metric at which an upstream is set aside, where the tier holds less than half of that
RETRIES = 1 / 10  # of first hops: what may be spent on hops after one that may have run
MEMORY = 1 / 16  # weight of the newest sample in a running mean


class Entry:
    """A reduction metric held for one scope, and the window that reads the next."""

    __slots__ = ("metric", "until", "tried", "bad", "opened")

    def __init__(self) -> None:
        self.metric, self.until, self.tried, self.bad, self.opened = 0.0, 0, 0, 0, 0

    def close(self, now: int, floor: int, validity: int) -> None:
        if self.tried < floor and now - self.opened < validity:
            if now >= self.until:
                self.metric = 0.0  # lapsed unrenewed
            return  # the window stays open: a quiet balancer reaches the floor later, not never
        if self.tried:
            seen = self.bad / self.tried if self.tried >= floor else 0.0
            held = self.metric if now < self.until else 0.0
            new = max(seen, held * EASE)  # eased, not dropped: else the load returns in waves
            if abs(new - self.metric) >= STEP or now >= self.until:
                self.metric = new if new >= STEP else 0.0
            self.until = now + validity
        self.tried = self.bad = 0
        self.opened = now


class Upstream:
    """The one record of an upstream."""

    __slots__ = (
        "index", "cell", "zone", "weight", "born", "state", "turn", "out", "load", "heard", "entries", "pace",
        "held", "aside", "since", "strikes", "sounding", "budget", "filled",
    )  # fmt: skip

    def __init__(self, index: int, profiles: int) -> None:
        self.index = index
        self.entries = [Entry() for _ in range(profiles + 1)]  # the last is the upstream's own
        self.state = State.GONE
        self.born = -1
        self.held: dict[Transaction, int] = {}  # whose hops are out, and their numbers
        self.out, self.load = 0, 0.0  # hops in flight, and what they cost in mean transactions

    def begin(self, born: int, now: int, chance: float) -> None:
        """A process just started, or one seen for the first time: nothing known of an earlier one holds."""
        self.born, self.turn, self.pace = born, chance, 1.0
        self.heard, self.aside, self.since, self.strikes, self.sounding = now, False, 0, 0, False
        self.budget, self.filled = chance, now


class Transaction:
    """The handle of a transaction taken."""

    __slots__ = ("home", "ref", "profile", "kind", "deadline", "goal", "cost", "heft", "value", "hops", "out", "done", "fresh")

    def __init__(self, home, ref, profile, deadline, goal, cost, heft, value):
        self.home, self.ref, self.profile, self.deadline = home, ref, profile, deadline
        self.kind = home.profiles[profile]
        self.goal, self.cost, self.heft, self.value = goal, cost, heft, value
        self.hops: list[list] = []  # upstream, sent at, still out, may have run, cell, zone
        self.out, self.done = 0, False

    @property
    def over(self) -> bool:
        return self.done and not self.out

    def risk(self) -> list | None:
        """The first hop that may have run, or is still out."""
        return next((hop for hop in self.hops if hop[3]), None)

    def returned(self, now, number, outcome, took, complete, report=()) -> None:
        hop = self.hops[number]
        if not hop[2]:
            return
        hop[2] = False
        hop[3] = not outcome.proves_unrun
        self.out -= 1
        self.done = self.done or complete
        self.home.learn(now, self, hop[0], outcome, took)
        if not self.done and not self.out:
            self.home.resend(self, now, outcome)

    def begun(self, now, number) -> None:
        """A streamed answer has started: the client has it, nothing more is owed but its end."""
        self.deadline = now + self.kind.hard_limit * 1000

    def left(self, now) -> None:
        self.done = True
        self.home.call_off(self)


class Balancer:
    def __init__(self, settings: Settings, port: Port, seed: int) -> None:
        self.port = port
        self.chance = Random(seed).random
        s = settings
        self.profiles, self.hops_allowed, self.zone = s.profiles, s.most_hops, s.zone
        self.may_cancel, self.may_probe = s.may_cancel, s.may_probe
        self.entrance = s.tier == 0  # calls of the tiers behind are work already paid for
        self.near_first = s.cross_zone_fee > 0
        self.advice = s.longest_advice if s.advises else 0
        self.ask_again = s.ask_within // 8 if s.ask_for_list else 0
        self.cold_from, self.cold_time = s.cold_share, max(1, s.cold_time)
        self.cold_excess = s.cold_multiple / 2
        goals = [p.service_goal for p in s.profiles]
        self.beat = max(1000, round(min(goals) * BEAT))
        self.window, self.validity = self.beat * WINDOW, round(self.beat * WINDOW * VALIDITY)
        top = max(p.revenue for p in s.profiles) or 1.0
        # How far revenue may decide who is turned away first, by what the worst-served profile weighs beside the whole.
        self.bias = s.whole_weight / ((s.whole_weight + s.class_weight) or 1.0)
        self.values = [p.revenue / top for p in s.profiles]
        self.excess = s.excess_share
        self.rates = [a / s.balancers / 1e6 for a in s.allowances]
        self.spare = [[r * self.window, 0] for r in self.rates]
        self.upstreams: list[Upstream | None] = []
        self.ready: list[Upstream] = []
        self.near: list[Upstream] = []
        self.tier = Entry()
        self.out = 0
        self.served = self.begun_hops = 0
        self.mean_hint = 0.0
        self.hints = [0.0] * len(s.profiles)
        self.usual = [0.0] * len(s.profiles)  # running mean time of a hop, by profile
        self.took = self.stretch = self.low = 0.0  # a hop's running mean time, and its share of the goal
        self.ceiling, self.balancers = 0.0, s.balancers
        self.held_back, self.pressed, self.weighed = False, False, 0
        self.mean_goal, self.borne = sum(goals) / len(goals), 0.0
        self.credit = 1.0
        self.beats = 0
        self.awake = False
        self.asked_at = -1
        self.last_heard = 0

    # The list.

    def listed(self, now, rows, full, cached=False) -> None:
        if not self.awake:
            self.awake = True
            self.tier.opened = now
            port_wake = self.port.wake
            port_wake(now + self.beat, 0)
            if self.ask_again:
                self.port.ask_list()
        named = set()
        for index, state, born, weight, cell, zone in rows:
            while index >= len(self.upstreams):
                self.upstreams.append(None)
            u = self.upstreams[index]
            if u is None:
                u = self.upstreams[index] = Upstream(index, len(self.profiles))
            if born != u.born:
                if u.born >= 0 and u.aside:
                    self.out += u.out
                u.begin(born, now, self.chance())
            u.state, u.weight, u.cell, u.zone = state, weight if weight > 0 else 1.0, cell, zone
            named.add(index)
        if full:  # what a full list leaves out is gone
            for u in self.upstreams:
                if u is not None and u.index not in named:
                    u.state = State.GONE
        self.ready = [u for u in self.upstreams if u is not None and u.state is State.READY]
        self.near = [u for u in self.ready if u.zone == self.zone] if self.near_first else self.ready
        self.ceiling = self.ceiling or self.bear(START)

    def list_failed(self, now) -> None:
        if self.ask_again:
            self.port.wake(now + round(self.ask_again * (0.5 + self.chance() / 2)), 1)

    def heard(self, now, peer, text) -> None:
        """Peers are not asked for anything yet."""

    # A transaction's way.

    def take(self, now, ref, profile, customer, deadline, hint=0, repeat=False) -> Transaction:
        kind = self.profiles[profile]
        cost = heft = 1.0
        if hint:
            mean = self.hints[profile] = self.hints[profile] + (hint - self.hints[profile]) * (MEMORY if self.hints[profile] else 1.0)
            heft = max(1.0, hint / mean)
            self.mean_hint += (hint - self.mean_hint) * (MEMORY if self.mean_hint else 1.0)
            cost = hint / self.mean_hint
        value = 1 - self.bias * (1 - self.values[profile])
        if self.entrance and customer < len(self.spare) and self.rates[customer] > 0:
            spare = self.spare[customer]
            rate = self.rates[customer]
            spare[0] = min(rate * self.window, spare[0] + rate * (now - spare[1]))
            spare[1] = now
            if spare[0] >= 1:
                spare[0] -= 1
            else:
                value *= self.excess  # beyond its share: turned away first, so that its burst does not cost all
        tx = Transaction(self, ref, profile, deadline, now + kind.service_goal, cost, heft, value)
        self.send(tx, now, first=True)
        return tx

    def send(self, tx, now, first=False) -> None:
        end = tx.deadline
        if self.entrance and not tx.kind.late_share:
            end = min(end, tx.goal)  # an answer after the goal is worth nothing: don't work for it
        if now >= end:
            return self.give_up(tx, now)
        risk = tx.risk()
        if risk and (tx.kind.effect is Effect.NON_IDEMPOTENT or tx.out):
            return self.give_up(tx, now)
        if risk and tx.kind.effect is Effect.JOURNALLED and now >= risk[1] + tx.kind.repeat_window:
            return self.give_up(tx, now)
        if first and self.entrance and self.crowded(tx):
            self.held_back = True
            return self.give_up(tx, now)
        u = self.choose(tx, now, risk)
        if u is None:
            return self.give_up(tx, now)
        share, whole_tier = self.governing(u, tx.profile, now)
        if first and share > 0 and self.chance() < share * (1.5 - tx.value if whole_tier else 1.0):
            if not whole_tier:
                u = self.choose(tx, now, risk, clean=True)
            elif self.entrance:
                u = None
            if u is None:
                return self.give_up(tx, now)
        self.dispatch(tx, u, now, end)

    def governing(self, u, profile, now) -> tuple[float, bool]:
        """The finest valid entry's metric, and whether it is the tier's."""
        for entry in (u.entries[profile], u.entries[-1]):
            if entry.metric and now < entry.until:
                return entry.metric, False
        return (self.tier.metric, True) if now < self.tier.until else (0.0, True)

    def crowded(self, tx) -> bool:
        """Would the crowd in flight take longer to serve than is let in? Crowded upstreams choke before refusing."""
        return self.out >= self.ceiling * (0.6 + 0.4 * tx.value)

    def choose(self, tx, now, risk, clean=False) -> Upstream | None:
        """Smooth weighted rotation over those not far above the mean in flight."""
        group = tx.kind.group if risk and tx.kind.effect is Effect.JOURNALLED else Group.ALL
        used = [hop[0] for hop in tx.hops]
        spill = self.stretch > SLOW * self.low
        for pool, careful in ((self.near, True), (self.ready, True), (self.ready, False)):
            if pool is self.near and spill and pool is not self.ready:
                continue
            best, total = None, 0.0
            weight_all = load_all = 0.0
            for u in pool:
                if not u.aside:
                    weight_all += u.weight
                    load_all += u.load
            mean = load_all / weight_all if weight_all else 0.0
            for u in pool:
                if group is Group.CELL and u.cell != risk[4] or group is Group.ZONE and u.zone != risk[5]:
                    continue
                if careful and (u.aside or u in used):
                    continue
                weight = u.weight / u.pace if u.pace > SLOW else u.weight
                if u.born and now - u.born < self.cold_time:
                    warmth = self.warmth(u, now)
                    if warmth < 0:
                        continue
                    weight *= warmth
                if careful and u.load > SKIP * mean * weight:
                    continue
                if clean and self.governing(u, tx.profile, now) != (0.0, True):
                    continue
                u.turn += weight
                total += weight
                if best is None or u.turn > best.turn:
                    best = u
            if best is not None:
                best.turn -= total
                return best
        return None

    def warmth(self, u, now) -> float:
        """The least share of its capacity a cold upstream has, or -1 with its budget spent.

        All balancers together must not push it over: each sends it no more than that share of `cold_excess` times
        what it sends a ready upstream in the mean, whatever the others do.
        """
        warm = self.cold_from + (1 - self.cold_from) * max(0, now - u.born) / self.cold_time
        mean = self.begun_hops_rate() / (len(self.ready) or 1)
        u.budget = min(1.0, u.budget + (now - u.filled) * mean * warm * self.cold_excess)
        u.filled = now
        return warm if u.budget >= 1 else -1.0

    def begun_hops_rate(self) -> float:
        return self.rate_per_us

    rate_per_us = 0.0

    def dispatch(self, tx, u, now, end) -> None:
        if u.born and now - u.born < self.cold_time:
            u.budget -= 1
        if not u.out:
            u.heard = now
        u.out += 1
        u.load += tx.cost
        self.out += not u.aside
        tx.out += 1
        tx.hops.append([u, now, True, True, u.cell, u.zone])
        self.begun_hops += 1
        if len(tx.hops) == 1:
            self.credit = min(10.0, self.credit + RETRIES)
        u.held[tx] = len(tx.hops) - 1
        left = end - now
        usual = self.usual[tx.profile]
        if (
            usual
            and tx.kind.effect is not Effect.NON_IDEMPOTENT
            and len(tx.hops) < self.hops_allowed
            and self.credit >= 1
            and not self.tier.metric
        ):
            left = min(left, max(tx.kind.service_goal // 2, round(PATIENCE * usual * tx.heft)))
        self.port.send(tx.ref, u.index, max(1, left))

    def resend(self, tx, now, outcome) -> None:
        """After a hop that brought no answer: another, where the profile allows and the retries are not spent."""
        if outcome is Outcome.MOOT or len(tx.hops) >= self.hops_allowed:
            return self.give_up(tx, now)
        if not outcome.proves_unrun:
            if self.credit < 1:  # retries multiply across tiers
                return self.give_up(tx, now)
            self.credit -= 1
        self.send(tx, now)

    def give_up(self, tx, now) -> None:
        tx.done = True
        self.call_off(tx)
        effect, risk = tx.kind.effect, tx.risk()
        if effect is Effect.IDEMPOTENT or not risk or (effect is Effect.JOURNALLED and tx.kind.group is Group.ALL):
            self.port.roll_back(tx.ref, min(self.advice, tx.kind.service_goal // 4))
        else:
            self.port.abandon(tx.ref)

    def call_off(self, tx) -> None:
        if self.may_cancel:
            for number, hop in enumerate(tx.hops):
                if hop[2]:
                    self.port.cancel(tx.ref, number)

    # What is learnt.

    def learn(self, now, tx, u, outcome, took) -> None:
        u.out -= 1
        u.held.pop(tx, None)
        u.load = u.load - tx.cost if u.out else 0.0
        self.out -= not u.aside
        if outcome is Outcome.CANCELLED or outcome is Outcome.MOOT:
            return
        answered = outcome in (Outcome.COMMITTED, Outcome.ERROR, Outcome.FULL)
        if answered:
            u.heard = self.last_heard = now
        bad = outcome is not Outcome.COMMITTED
        if outcome is Outcome.COMMITTED:
            usual = self.usual[tx.profile]
            self.usual[tx.profile] = usual + (took - usual) * (MEMORY if usual else 1.0)
            self.took += (took - self.took) * (MEMORY if self.took else 1.0)
            stretch = took / tx.kind.service_goal
            self.stretch += (stretch - self.stretch) * (MEMORY if self.stretch else 1.0)
            self.served += 1
            self.mean_goal += (tx.kind.service_goal - self.mean_goal) * MEMORY
            if usual:
                u.pace += (min(took / usual, 10.0) - u.pace) * MEMORY
            u.strikes = 0
            bad = self.pressed and took > LATE * tx.kind.service_goal
        for entry in (u.entries[tx.profile], u.entries[-1]):
            entry.tried += 1
            entry.bad += bad
        self.tier.tried += 1
        # One slow or costly hop says nothing of the tier: its time-outs count only while hops take long in the mean.
        self.tier.bad += bad and (self.pressed or outcome is Outcome.FULL)
        if outcome is Outcome.UNREACHABLE:
            self.set_aside(u, now)

    def set_aside(self, u, now) -> None:
        if u.aside:
            return
        u.aside, u.since = True, now
        self.out -= u.out  # what hangs there is no crowd elsewhere
        u.strikes += 1
        self.sound(u)

    def sound(self, u) -> None:
        if self.may_probe and not u.sounding and u.state is State.READY:
            u.sounding = True
            self.port.probe(u.index)

    def probed(self, now, index, outcome, took, report=()) -> None:
        u = self.upstreams[index]
        if u is None:
            return
        u.sounding = False
        if u.aside and outcome is Outcome.COMMITTED and now - u.since >= self.beat << min(u.strikes, 6):
            self.bring_back(u, now)

    def bring_back(self, u, now) -> None:
        u.aside, u.heard = False, now
        self.out += u.out
        u.entries[-1].metric = 0.0

    def woken(self, now, token) -> None:
        if token == 1:
            self.port.ask_list()
            return
        self.port.wake(now + self.beat, 0)
        self.beats += 1
        patience = SILENT * self.took + self.beat
        for u in self.ready:
            if u.aside:
                if self.may_probe:
                    self.sound(u)
                elif now - u.since >= self.validity << min(u.strikes, 6):
                    self.bring_back(u, now)
            elif u.out and self.last_heard > u.heard and now - u.heard > patience:
                # Hung upstreams are silent until time-outs: others answer, this one does not.
                self.set_aside(u, now)
                if self.may_cancel:
                    for tx, number in list(u.held.items()):
                        if now - tx.hops[number][1] < max(tx.kind.service_goal // 2, PATIENCE * self.usual[tx.profile] * tx.heft):
                            continue
                        if not tx.done and tx.kind.effect is not Effect.NON_IDEMPOTENT and len(tx.hops) < self.hops_allowed:
                            self.port.cancel(tx.ref, number)
        if self.served >= TIER_FLOOR and now - self.weighed >= max(self.window // 2, 2 * self.took):
            self.weigh_crowd(now)
        if self.beats % WINDOW:
            return
        self.close_window(now)

    def weigh_crowd(self, now) -> None:
        """Crowded upstreams choke before they refuse: hold the crowd in flight to what the tier has shown it bears."""
        self.low = min(self.stretch, self.low * (1 + MEMORY / 64)) if self.low else self.stretch
        target = max(min(TARGET, ROOM[1] * self.low), ROOM[0] * self.low)
        change = target / self.stretch
        self.pressed = change < 1
        if change < 1:
            self.ceiling = max(SHRINK, change) * min(self.ceiling, self.out)
        else:
            self.borne += (self.out - self.borne) * (MEMORY if self.borne else 1.0)
            if self.held_back:
                self.ceiling *= min(GROW, change)
        self.ceiling = max(self.ceiling, self.bear(LEAST), self.borne / 2)
        self.served, self.held_back, self.weighed = 0, False, now

    def bear(self, each) -> float:
        return each * len(self.ready) / self.balancers

    def close_window(self, now) -> None:
        self.tier.close(now, TIER_FLOOR, self.validity)
        for u in self.ready:
            for entry in u.entries:
                entry.close(now, FLOOR, self.validity)
            own = u.entries[-1].metric
            if own >= UNWELL and self.tier.metric < own / 2:
                self.set_aside(u, now)
        self.rate_per_us += (self.begun_hops / self.window - self.rate_per_us) * (1 / 4 if self.rate_per_us else 1)
        self.begun_hops = 0
