"""A balancer process of the workload model with the real policy, subset controller and health gossip.

Attempts go to simulated upstreams without any bytes on a network. The instance implements the policy's port.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL, HealthGossip
from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.leased_health_checks import LeasedHealthChecks
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.model import (
    DeduplicationScope,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Outcome,
    RequestClass,
)
from dahliabend.policy.balancer import Balancer
from dahliabend.simulation.cluster.instance_environment import InstanceEnvironment
from dahliabend.simulation.cluster.lying_gossip import LyingGossip
from dahliabend.simulation.cluster.pending_request import AttemptRecord, PendingRequest
from dahliabend.simulation.cluster.upstream_model import MS, S, SimulatedUpstream
from dahliabend.subsetting.controller import SubsetController
from dahliabend.subsetting.demand import DemandEstimator
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.usable_endpoints import count_usable_endpoints

SUBSET_INTERVAL = 250 * MS  # between steps of the subset controller
ONE_WAY_DELAY = 1 * MS  # of a message to or from an upstream
CONNECT_TIME = 3 * MS
CONNECT_TIMEOUT = 250 * MS  # for a host that does not answer
IDLE_TIMEOUT = 15 * S  # of connections to upstreams
LATENCY_OBJECTIVE = 1_500 * MS
DEADLINE = 3 * S
UNHEALTHY_FAILURE_SHARE = 0.5  # share of failing requests above which health checks fail
REQUEST_CLASSES = (
    RequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, LATENCY_OBJECTIVE, DEADLINE, 1.0, 0.0),
    RequestClass(
        Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, LATENCY_OBJECTIVE, DEADLINE, 2.0, 0.0
    ),
)
POOL = "main"
# Outcomes after which a connection is used again.
REUSABLE_AFTER = frozenset({Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED})

ResultCallback = Callable[[int, Outcome], None]


class BalancerInstance:
    """One process of a balancer, from its start until its end."""

    def __init__(self, model: InstanceEnvironment, number: int, generation: int) -> None:
        self.model = model
        self.number = number
        self.is_alive = True
        self.endpoint_updates: dict[str, EndpointUpdate] = {}  # by name: the endpoint list known here
        self.requests: dict[int, PendingRequest] = {}
        self.next_request_id = 0
        self.admitted = 0
        self.idle_connections: dict[int, list[int]] = {}  # by upstream: when each became idle
        self.busy_connections: Counter[int] = Counter()  # by upstream
        seed = hash((model.script.seed, number, generation))
        self.balancer = Balancer(model.settings(), self, seed=seed)
        self.demand = DemandEstimator() if model.announces_demand else None
        self.gossip = self._create_gossip(generation)
        self.leased_checks: LeasedHealthChecks | None = None
        if model.check_period and self.gossip is not None:
            self.leased_checks = LeasedHealthChecks(
                f"b{number}", model.check_period, self.run_leased_check, lambda *_, **__: None
            )
            self.gossip.leases = self.leased_checks.election.announcements
            self.gossip.on_lease = self.leased_checks.apply_announcement
        self.controller: SubsetController | None = None
        if model.subset_settings is not None:
            self.controller = SubsetController(model.participant(number), model.subset_settings)
        self.weights: dict[str, float] = {}  # of the upstreams in the subset

    def _create_gossip(self, generation: int) -> HealthGossip | None:
        model = self.model
        number = self.number
        if not model.has_gossip:
            return None
        rng = Random(f"signals {model.script.seed} {number} {generation}")
        if number in model.lie_types:
            return LyingGossip(
                f"b{number}", generation, rng, model.lie_types[number], model.upstreams_by_name
            )
        return HealthGossip(f"b{number}", generation, rng)

    # Port of the policy

    def send(self, request_id: int, upstream: int, timeout: int) -> None:
        """Send an attempt on an idle connection, or on a new one if none is idle."""
        model = self.model
        now = model.now
        request = self.requests[request_id]
        target = model.upstreams[upstream]
        request.attempts.append(AttemptRecord(target, now))
        number = len(request.attempts) - 1
        model.counts["hops"] += 1
        delay = ONE_WAY_DELAY
        if not self._take_idle_connection(upstream):
            model.counts["shakes"] += 1
            delay += CONNECT_TIME
        self.busy_connections[upstream] += 1
        model.call_at(now + timeout, self.attempt_ended, request_id, number, Outcome.TIMED_OUT)
        if target.has_ended and target.is_silent:
            model.call_at(now + CONNECT_TIMEOUT, self.attempt_ended, request_id, number, Outcome.UNREACHABLE)
        else:
            model.call_at(now + delay, self.attempt_arrived, request_id, number)

    def _take_idle_connection(self, upstream: int) -> bool:
        idle = self.idle_connections.setdefault(upstream, [])
        while idle and self.model.now - idle[0] > IDLE_TIMEOUT:
            idle.pop(0)
        if not idle:
            return False
        idle.pop()
        return True

    def attempt_arrived(self, request_id: int, number: int) -> None:
        """Handle the arrival of an attempt at its upstream."""
        request = self.requests.get(request_id)
        if request is None or request.attempts[number].is_finished:
            return
        model = self.model
        upstream = request.attempts[number].upstream
        result = upstream.request_arrived(model.now, self.number)
        if result.outcome is Outcome.SUCCEEDED:
            request.executions += 1
            effect = REQUEST_CLASSES[request.class_index].effect
            if request.executions > 1 and effect is Idempotency.NON_IDEMPOTENT:
                model.report_violation(f"no effect twice: at {upstream.name}")
            model.call_at(result.at, self.work_done, upstream)
        if result.outcome is not None:
            model.call_at(result.at + ONE_WAY_DELAY, self.attempt_ended, request_id, number, result.outcome)

    def work_done(self, upstream: SimulatedUpstream) -> None:
        """Handle the end of a request's work at its upstream."""
        upstream.in_flight -= not upstream.has_ended

    def attempt_ended(self, request_id: int, number: int, outcome: Outcome) -> None:
        """Handle the end of an attempt. Only the first outcome of an attempt counts."""
        request = self.requests.get(request_id)
        model = self.model
        if request is None or request.attempts[number].is_finished or not self.is_alive:
            return
        attempt = request.attempts[number]
        upstream = attempt.upstream
        if upstream.has_ended and outcome is Outcome.SUCCEEDED:
            outcome = Outcome.RESET
        attempt.is_finished = True
        self._release_connection(upstream.index, outcome)
        if self.gossip is not None:
            self.gossip.record_outcome(model.now, POOL, upstream.name, outcome)
        if outcome is Outcome.SUCCEEDED:
            self._serve(request)
        if request.state is not None:
            latency = model.now - attempt.sent_at
            request.state.attempt_finished(model.now, number, outcome, latency, request.is_answered)
            if request.state.is_finished:
                self.requests.pop(request_id, None)

    def _release_connection(self, upstream: int, outcome: Outcome) -> None:
        self.busy_connections[upstream] -= 1
        # An upstream without an entry in `idle_connections` has left the endpoint list or the subset.
        if outcome in REUSABLE_AFTER and upstream in self.idle_connections:
            self.idle_connections[upstream].append(self.model.now)

    def _serve(self, request: PendingRequest) -> None:
        """Answer a request on its first successful attempt."""
        if not request.is_answered:
            is_in_time = self.model.now - request.arrived_at <= LATENCY_OBJECTIVE
            self.answer(request, "served" if is_in_time else "late")

    def answer(self, request: PendingRequest, result: str) -> None:
        """Answer a request; count it as "served", "late", "rolled back" (rejected), "abandoned" (failed)."""
        model = self.model
        if request.is_answered:
            model.report_violation("a second answer")
            return
        request.is_answered = True
        if request.arrived_at < model.measured_since:
            return
        model.counts[result] += 1
        if result == "served":
            model.metrics.latencies.append(model.now - request.arrived_at)

    def reject(self, request_id: int, retry_after: int) -> None:  # noqa: ARG002 -- the signature of `Port`
        """Reject a request."""
        self.answer(self.requests[request_id], "rolled back")

    def fail(self, request_id: int) -> None:
        """Fail a request."""
        self.answer(self.requests[request_id], "abandoned")

    def cancel(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt."""
        if not self.requests[request_id].attempts[attempt].is_finished:
            self.model.call_at(self.model.now, self.attempt_ended, request_id, attempt, Outcome.CANCELLED)

    def check_health(self, upstream: int) -> None:
        """Run a health check of an upstream, or request it from the holder of its lease."""
        name = self.model.upstreams[upstream].name

        def on_result(_: int, outcome: Outcome) -> None:
            """Pass the result to the policy."""
            self.health_check_finished(upstream, outcome)

        checks = self.leased_checks
        if checks is None or not checks.request_check(self.model.now, name, on_result):
            self.run_check(upstream, on_result)

    def run_leased_check(self, task: str, on_result: ResultCallback) -> None:
        """Run the health check of a leased task, whose name is that of the upstream."""
        upstream = self.model.upstreams_by_name.get(task)
        if upstream is not None:
            self.run_check(upstream.index, on_result)

    def run_check(self, upstream: int, on_result: ResultCallback) -> None:
        """Send a health check to an upstream."""
        model = self.model
        target = model.upstreams[upstream]
        model.counts["probes"] += 1
        is_silent = target.is_hung or target.has_ended or self.number in target.unreachable_from
        if is_silent:
            outcome = Outcome.TIMED_OUT
        elif target.failure_share > UNHEALTHY_FAILURE_SHARE:
            outcome = Outcome.FAILED
        else:
            outcome = Outcome.SUCCEEDED
        delay = 2 * CONNECT_TIMEOUT if is_silent else 2 * ONE_WAY_DELAY
        model.call_at(model.now + delay, self.check_ended, on_result, outcome)

    def check_ended(self, on_result: ResultCallback, outcome: Outcome) -> None:
        """Handle the response or time-out of a health check."""
        if self.is_alive:
            on_result(self.model.now, outcome)

    def health_check_finished(self, upstream: int, outcome: Outcome) -> None:
        """Pass the result of a health check to the policy."""
        if self.is_alive:
            self.balancer.health_check_finished(self.model.now, upstream, outcome)

    def close_idle_connections(self, upstream: int, age: int) -> None:
        """Close the connections to an upstream that have been idle for at least `age` microseconds."""
        idle = self.idle_connections.get(upstream, [])
        self.idle_connections[upstream] = [since for since in idle if self.model.now - since < age]

    def set_timer(self, at: int, token: int) -> None:
        """Set a timer of the policy."""
        self.model.call_at(at, self.timer_fired, token)

    def timer_fired(self, token: int) -> None:
        """Pass an expired timer to the policy."""
        if self.is_alive:
            self.balancer.timer_fired(self.model.now, token)

    def poll_endpoints(self) -> None:
        """Do nothing: changes of the endpoint list are pushed."""

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Do nothing: the settings have no peers."""

    # Inputs

    def admit(self, class_index: int) -> None:
        """Admit a request of a client."""
        now = self.model.now
        request = PendingRequest(now, class_index)
        self.admitted += 1
        request_id = self.next_request_id
        self.next_request_id += 1
        self.requests[request_id] = request
        request.state = self.balancer.admit(now, request_id, class_index, 0, now + DEADLINE)
        if request.state.is_finished:
            self.requests.pop(request_id, None)

    def endpoints_changed(self, changed: dict[str, EndpointUpdate]) -> None:
        """Apply a change of the endpoint list."""
        if not self.is_alive:
            return
        self.endpoint_updates.update(changed)
        self.endpoint_updates = {
            name: update
            for name, update in self.endpoint_updates.items()
            if update.state is not EndpointState.REMOVED
        }
        if self.controller is not None:
            zones = self.model.zone_names
            ready = [
                Participant(name, zones[update.zone], update.weight)
                for name, update in self.endpoint_updates.items()
                if update.state is EndpointState.READY
            ]
            self.controller.update_upstreams(self.model.now, ready)
            self._step_subset()
        self._update_policy()

    def subset_timer_fired(self) -> None:
        """Announce the demand and step the subset controller; repeats itself periodically."""
        if not self.is_alive or self.controller is None:
            return
        model = self.model
        machine = model.membership_protocol(self.number)
        model.call_at(model.now + SUBSET_INTERVAL, self.subset_timer_fired)
        weight = self.demand.update(model.now, self.admitted) if self.demand is not None else None
        if weight and machine is not None:
            machine.update_self(model.now, weight=weight)
        if self._step_subset():
            self._update_policy()

    def gossip_timer_fired(self) -> None:
        """Apply peer reports, run due health checks and send own reports; repeats itself periodically."""
        model = self.model
        gossip = self.gossip
        machine = model.membership_protocol(self.number)
        if not self.is_alive or gossip is None or machine is None:
            return
        model.call_at(model.now + GOSSIP_INTERVAL, self.gossip_timer_fired)
        members = machine.view(model.now).names()
        ready = (endpoint for endpoint in self.balancer.selection.ready if not endpoint.is_ejected)
        indices = {model.upstreams[upstream.index].name: upstream.index for upstream in ready}

        def on_suspected(name: str, sampled: int, failed: int) -> None:
            """Pass the counts that peers reported to the policy."""
            model.counts["believed"] += 1
            self.balancer.add_peer_report(indices[name], sampled, failed)

        gossip.report_suspected(model.now, POOL, set(indices), members, on_suspected)
        self._run_leased_checks(machine)
        gossip.tick(model.now, sorted(members))
        outbox = gossip.outbox
        gossip.outbox = []
        for name, payload in outbox:
            model.send_gossip(machine.name, name, payload)

    def _run_leased_checks(self, machine: MembershipProtocol) -> None:
        """Run the health checks that are due and whose leases this instance holds."""
        if self.leased_checks is not None:
            now = self.model.now
            settled_view = machine.last_stable_view(now)
            members = settled_view.members if settled_view else ()
            candidates = [Candidate(member.name, member.zone) for member in members if member.is_reachable]
            tasks = {
                name: ""
                for name, update in self.endpoint_updates.items()
                if update.state is EndpointState.READY
            }
            is_settled = bool(candidates) and now >= machine.unsettled_until
            self.leased_checks.tick(now, candidates, is_settled, tasks)

    def _step_subset(self) -> bool:
        """Step the subset controller, and return whether the subset has changed."""
        model = self.model
        controller = self.controller
        if controller is None:
            return False
        machine = model.membership_protocol(self.number)
        settled_view = machine.last_stable_view(model.now) if machine is not None else None
        if machine is not None and settled_view is not None:
            controller.update_membership(model.now, settled_view, machine.view(model.now))
        if self.weights:
            balancer = self.balancer
            usable = count_usable_endpoints(
                balancer.selection.ready,
                balancer.outliers.last_answer_at,
                balancer.throttling.window,
                model.now,
            )
            controller.adjust_width(usable)
        subset = controller.step(model.now)
        if subset is None:
            return False
        model.counts["moved"] += len(subset.added) + len(subset.dropped)
        self.weights = subset.weights
        self.balancer.selection.instance_count = subset.balancers_per_upstream
        return True

    def _update_policy(self) -> None:
        """Pass the endpoints, or those of the subset if there is one, to the policy."""
        updates = list(self.endpoint_updates.values())
        if self.controller is not None:
            updates = []
            listed = self.balancer.selection.endpoints
            for name, update in self.endpoint_updates.items():
                weight = self.weights.get(name)
                if weight is not None:
                    updates.append(update._replace(weight=weight))
                elif update.state is not EndpointState.READY and update.endpoint in listed:
                    updates.append(update)
        self.balancer.update_endpoints(self.model.now, updates, full=True)
        unlisted = [i for i in self.idle_connections if i not in self.balancer.selection.endpoints]
        for index in unlisted:
            del self.idle_connections[index]
