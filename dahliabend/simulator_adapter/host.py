"""Hosts many instances of the decisions in one process; they share nothing but the code."""

from dahliabend.config import platform as config
from dahliabend.model import EndpointState, Outcome
from dahliabend.policy.balancer import Balancer, RequestState
from dahliabend.simulator_adapter import codec as wire

_DELTA, _FULL, _CACHED, _FAILED = range(4)


class Instance:
    """One balancer, and the port through which it acts: ids in, small indices on."""

    def __init__(self, number: int, seed: int, conf: bytes, out: list[bytes]) -> None:
        self.number = number
        self.out = out
        self.addresses: list[bytes] = []  # by upstream index
        self.indices: dict[bytes, int] = {}
        self.requests: dict[int, RequestState] = {}
        try:
            own = config.read_policy_settings(conf)
        except ValueError as error:
            raise wire.Malformed(f"settings of instance {number}: {error}") from None
        self.balancer = Balancer(own, self, seed)

    # What the decisions do.

    def send(self, ref: int, upstream: int, timeout: int) -> None:
        self.out.append(wire.send_attempt(self.number, ref, self.addresses[upstream], timeout / 1000))

    def reject(self, ref: int, retry_after: int) -> None:
        self.out.append(wire.reject(self.number, ref, retry_after / 1000))
        if ref in self.requests and self.requests[ref].is_finished:
            del self.requests[ref]  # it waited for its turn

    def fail(self, ref: int) -> None:
        self.out.append(wire.fail(self.number, ref))

    def cancel(self, ref: int, hop: int) -> None:
        self.out.append(wire.cancel(self.number, ref, hop))

    def check_health(self, upstream: int) -> None:
        self.out.append(wire.check_health(self.number, self.addresses[upstream]))

    def close_idle_connections(self, upstream: int, age: int) -> None:
        self.out.append(wire.close_idle_connections(self.number, self.addresses[upstream]))

    def set_timer(self, at: int, token: int) -> None:
        self.out.append(wire.set_timer(self.number, token, at / 1000))

    def poll_endpoints(self) -> None:
        self.out.append(wire.subscribe(self.number, 1))

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        self.out.append(wire.send_to_peer(self.number, peer, payload))

    # What happens to it.

    def index(self, address: bytes) -> int:
        found = self.indices.get(address)
        if found is None:
            found = self.indices[address] = len(self.addresses)
            self.addresses.append(address)
        return found

    def event(self, now: int, code: int, fields: tuple, lists: dict[int, bytes]) -> None:
        balancer = self.balancer
        if code in (wire.RETURNED, wire.CLIENT_GONE, wire.HEAD_RECEIVED):
            self.happened(now, code, fields)
        elif code == wire.JOB_IN:
            _, ref, lane, billing, item, deadline, _, options = fields
            request = balancer.admit(
                now, ref, lane, billing, config.to_microseconds(deadline), bool(options & 2), key=item
            )
            if not request.is_finished:
                self.requests[ref] = request
        elif code == wire.BELL:
            balancer.timer_fired(now, fields[1])
        elif code == wire.HEALTH:
            found = self.indices.get(fields[1])
            if found is not None:  # one in no list of this instance was never probed by it
                balancer.health_check_finished(now, found, Outcome(fields[2]))
        elif code == wire.UPDATE:
            self.update(now, fields[2], lists.get(fields[3], b""))

    def happened(self, now: int, code: int, fields: tuple) -> None:
        """One of the events of a transaction; one already dropped may still be named."""
        request = self.requests.get(fields[1])
        if request is None:
            return
        if code == wire.RETURNED:
            _, _, shot, took, complete, how, _, _ = fields
            request.attempt_finished(now, shot, Outcome(how), config.to_microseconds(took), bool(complete))
        elif code == wire.CLIENT_GONE:
            request.client_disconnected(now)
        else:
            request.response_started(now, fields[2])
        if request.is_finished:
            self.requests.pop(fields[1], None)

    def update(self, now: int, scope: int, lines: bytes) -> None:
        if scope == _FAILED:
            self.balancer.endpoint_poll_failed(now)
            return
        rows = [
            (
                self.index(address),
                EndpointState(state),
                config.to_microseconds(born),
                weight,
                cell,
                zone,
                address,
            )
            for born, weight, cell, zone, address, state, _ in wire.ENTRY.iter_unpack(lines)
        ]
        self.balancer.update_endpoints(now, rows, full=scope != _DELTA)


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, bytes] = {}
        self.out: list[bytes] = []

    def batch(self, clock: float, count: int, body: bytes) -> bytes:
        """The reply to one batch."""
        now = config.to_microseconds(clock)
        out = self.out
        out.clear()
        for code, fields, rest in wire.records(body, count):
            if code == wire.CENSUS:
                if any(row[5] > EndpointState.DRAINING for row in wire.ENTRY.iter_unpack(rest)):
                    raise wire.Malformed(f"CENSUS: unknown health in list {fields[0]}")
                self.lists[fields[0]] = rest
                continue
            number = fields[0]
            if code == wire.SPAWN:
                self.start(number, fields[1], rest)
                continue
            instance = self.instances.get(number)
            if code == wire.CRASH_NOW:
                self.instances.pop(number, None)
            elif instance is not None:
                self.check(code, fields)
                try:
                    instance.event(now, code, fields, self.lists)
                except Exception as error:
                    out.append(wire.fault(number, f"{type(error).__name__}: {error}"))
            else:
                raise wire.Malformed(f"{wire.NAMES[code]} for instance {number}, which was never started")
        return wire.reply(out)

    def start(self, number: int, seed: int, conf: bytes) -> None:
        try:
            self.instances[number] = Instance(number, seed, conf, self.out)
        except wire.Malformed:
            raise
        except Exception as error:
            self.out.append(wire.fault(number, f"{type(error).__name__}: {error}"))

    def check(self, code: int, fields: tuple) -> None:
        """Values outside the wire's tables are no decision's fault."""
        outcome = (
            fields[5] if code == wire.RETURNED else fields[2] if code == wire.HEALTH else Outcome.SUCCEEDED
        )
        if not Outcome.SUCCEEDED <= outcome <= Outcome.NOT_SENT:
            raise wire.Malformed(f"{wire.NAMES[code]}: unknown outcome")
        if code == wire.UPDATE:
            if fields[2] > _FAILED:
                raise wire.Malformed(f"UPDATE: unknown scope {fields[2]}")
            if fields[2] != _FAILED and fields[3] not in self.lists:
                raise wire.Malformed(f"UPDATE: list {fields[3]} was never sent")
