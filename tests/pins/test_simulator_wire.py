"""The simulator's wire: a recorded transcript of batches is replayed, and each reply compared byte for byte.

The transcript was recorded by `record`: a small model of clients and servers drives three instances with
the real decisions, through rejections, retries, failures, cancels, probes, timers and changing lists.
"""

import heapq
import json
from collections.abc import Iterator
from io import BytesIO
from random import Random
from struct import Struct, pack, unpack_from

import pytest
from golden_files import read_golden, write_golden

from dahliabend.simulator_adapter import actions as encoders
from dahliabend.simulator_adapter.codec import decode_records, read_batch
from dahliabend.simulator_adapter.host import Host
from dahliabend.simulator_adapter.wire_format import RECORD_CODES

TRANSCRIPT = "simulator_transcript.txt"

# The wire's codes, as numbers: they are what is pinned.
LIST, DELIVERY, NOTE, RESULT, HEAD, START, PROBE_RESULT, KILL, CLIENT_LEFT, TIMER, REQUEST = (
    21, 16, 17, 18, 19, 20, 22, 23, 24, 25, 26,
)  # fmt: skip
CLOSE_IDLE, FAULT, SET_TIMER, FAIL, REJECT, ASK_LIST, PROBE, CANCEL, SEND = 16, 17, 18, 19, 21, 22, 23, 24, 26
ANSWERED, ERROR, FULL, TIMED_OUT, UNREACHABLE, RESET, CANCELLED = range(1, 8)
GONE, READY, DRAINING = range(3)
CHANGES, WHOLE, CACHED, FAILED = range(4)
SERVER = Struct(">dfHB6sBH")
END = 5000.0

SETTINGS = {
    "balancers": 2, "tier": 0, "locality": 0, "self-index": 0, "discovery": "pushed",
    "localities": ["north", "south"], "excess-revenue": 0.2,
    "profiles": [
        {"name": "read", "service-goal": 200, "hard-limit": 600, "semantics": "idempotent", "revenue": 1},
        {"name": "write", "service-goal": 240, "hard-limit": 700, "semantics": "deduplicated",
         "dedup-window": 400, "group": "zone", "revenue": 4, "tardy-revenue": 0.5},
        {"name": "pay", "service-goal": 200, "hard-limit": 600, "semantics": "at_most_once", "revenue": 9},
        {"name": "ordered", "service-goal": 200, "hard-limit": 600, "semantics": "deduplicated",
         "dedup-window": 900, "in-order": True},
        {"name": "watch", "service-goal": 300, "hard-limit": 900, "semantics": "idempotent", "stream": True},
    ],
    "tenants": [{"name": "gold", "allowance-per-s": 90}, {"name": "basic", "allowance-per-s": 8}],
    "goal": {"whole": 0.7, "worst-class": 0.3}, "fees": {"cross-zone": 0.1},
    "caps": {"most-hops": 3, "may-cancel": True, "probing": True, "retry-after": True,
             "max-retry-after": 500, "max-streams": 2, "may-tell": True},
    "contract": {"cold-share": 0.3, "cold": 1500, "fall-multiple": 2.5, "ask-within": 2000,
                 "order-pause": 60},
}  # fmt: skip
ON_REQUEST = {
    **SETTINGS, "self-index": 1, "discovery": "on_request", "fees": {"cross-zone": 0},
    "caps": {"most-hops": 2},
}  # fmt: skip


def frame(clock: float, records: list[bytes]) -> bytes:
    """One batch as it comes in."""
    body = b"".join(records)
    return pack(">dII", clock, len(body) + 4, len(records)) + body


def record_of(code: int, layout: str, *fields: object, rest: bytes = b"") -> bytes:
    """One record of a batch."""
    body = pack(layout, *fields) + rest
    return pack(">BI", code, len(body)) + body


def start(instance: int, settings: dict) -> bytes:
    """An instance with these settings."""
    text = json.dumps(settings, separators=(",", ":")).encode()
    return record_of(START, ">IQI", instance, 77 + instance, len(text), rest=text)


def server_list(number: int, rows: list[tuple]) -> bytes:
    """A list of servers: each its start, weight, cell, zone, address and state."""
    return record_of(LIST, ">HI", number, len(rows), rest=b"".join(SERVER.pack(*row, 0) for row in rows))


def actions(reply: bytes) -> Iterator[tuple[int, bytes]]:
    """Each action's code and fields."""
    length, count = unpack_from(">II", reply)
    assert length == len(reply) - 4
    at = 8
    for _ in range(count):
        code, size = unpack_from(">BI", reply, at)
        yield code, reply[at + 5 : at + 5 + size]
        at += 5 + size
    assert at == len(reply)


class Recorder:
    """A model of what the balancers stand among; it writes down each batch and its reply."""

    def __init__(self) -> None:
        self.host, self.chance = Host(), Random(20)
        self.events: list[tuple[float, int, bytes]] = []
        self.order = 0
        self.batches: list[tuple[bytes, bytes]] = []
        self.attempts: dict[tuple[int, int], int] = {}
        self.open: dict[tuple[int, int, int], bytes] = {}
        self.streams: set[tuple[int, int]] = set()
        self.lists = 0

    def at(self, when: float, record: bytes) -> None:
        """The record comes in then, in batches a millisecond apart."""
        self.order += 1
        heapq.heappush(self.events, (float(round(when)), self.order, record))

    def run(self) -> None:
        """All that happens until the end."""
        while self.events and self.events[0][0] <= END:
            now, records = self.events[0][0], []
            while self.events and self.events[0][0] == now:
                records.append(heapq.heappop(self.events)[2])
            self.exchange(now, records)

    def exchange(self, now: float, records: list[bytes]) -> None:
        batch = frame(now, [record for record in records if self.still_holds(record)])
        reply = self.host.handle_batch(read_batch(BytesIO(batch)))
        self.batches.append((batch, reply))
        for code, fields in actions(reply):
            self.react(now, code, fields)

    def still_holds(self, record: bytes) -> bool:
        """A result of an attempt that was cancelled meanwhile does not come."""
        if record[0] not in (RESULT, HEAD):
            return True
        key = unpack_from(">IQH", record, 5)
        if record[0] == HEAD:
            return key in self.open
        return self.open.pop(key, None) is not None

    def react(self, now: float, code: int, fields: bytes) -> None:
        if code == SEND:
            instance, request_id, address, timeout = unpack_from(">IQ6sd", fields)
            attempt = self.attempts.get((instance, request_id), -1) + 1
            self.attempts[instance, request_id] = attempt
            self.open[instance, request_id, attempt] = address
            self.serve(now, instance, request_id, attempt, address, timeout)
        elif code == CANCEL:
            instance, request_id, attempt = unpack_from(">IQH", fields)
            if (instance, request_id, attempt) in self.open:
                address = self.open[instance, request_id, attempt]
                self.result(now + 1, instance, request_id, attempt, 5.0, CANCELLED, address)
        elif code == SET_TIMER:
            instance, token, when = unpack_from(">IQd", fields)
            self.at(max(now + 1, when), record_of(TIMER, ">IQ", instance, token))
        elif code == PROBE:
            instance, address = unpack_from(">I6s", fields)
            how = UNREACHABLE if self.state_of(address, now) == UNREACHABLE else ANSWERED
            load = pack(">f", 0.5)
            self.at(now + 6, record_of(PROBE_RESULT, ">I6sBdB", instance, address, how, 6.0, 1, rest=load))
        elif code == ASK_LIST:
            (instance,) = unpack_from(">I", fields)
            self.deliver(now + 3, instance, CACHED, servers(now))

    def state_of(self, address: bytes, now: float) -> int:
        """How a server answers: most well, some only for a time."""
        number = address[3]
        if number == 2 and 900 <= now < 1800:
            return UNREACHABLE
        if number == 3 and 1200 <= now < 2200:
            return ERROR
        if number == 4 and 1500 <= now < 2300:
            return TIMED_OUT
        if 2700 <= now < 3300:
            return FULL
        return RESET if number == 5 and 600 <= now < 700 else ANSWERED

    def serve(
        self, now: float, instance: int, request_id: int, attempt: int, address: bytes, timeout: float
    ) -> None:
        how = self.state_of(address, now)
        took = {
            ANSWERED: self.chance.uniform(20, 60), ERROR: 3.0, FULL: 2.0, TIMED_OUT: timeout,
            UNREACHABLE: 25.0, RESET: 12.0,
        }[how]  # fmt: skip
        if now > 3900 and how == ANSWERED:
            took *= 6  # all get slow
        if how == ANSWERED and took >= timeout:
            how, took = TIMED_OUT, timeout
        if how == ANSWERED and (instance, request_id) in self.streams:
            self.at(
                now + took / 2, record_of(HEAD, ">IQH6sd", instance, request_id, attempt, address, took / 2)
            )
        self.result(now + took, instance, request_id, attempt, took, how, address)

    def result(
        self, when: float, instance: int, request_id: int, attempt: int, took: float, how: int, address: bytes
    ) -> None:
        complete = how == ANSWERED
        fields = instance, request_id, attempt, took, complete, how, address, 1
        self.at(when, record_of(RESULT, ">IQHdBB6sB", *fields, rest=pack(">f", 0.25)))

    def deliver(self, when: float, instance: int, scope: int, rows: list[tuple]) -> None:
        if scope != FAILED:
            self.lists += 1
            self.at(when, server_list(self.lists, rows))
        self.at(when, record_of(DELIVERY, ">IIBH", instance, self.lists, scope, self.lists))

    def request(self, when: float, instance: int, request_id: int, kind: int) -> None:
        again, key = self.chance.random() < 0.1, 1 + request_id % 3 if kind == 3 else 0
        limit = when + (700 if kind != 4 else 900)
        if kind == 4:
            self.streams.add((instance, request_id))
        fields = instance, request_id, kind, request_id % 3 // 2, key, limit, 0.0, 2 * again
        self.at(when, record_of(REQUEST, ">IQBIQddB", *fields))
        if request_id % 23 == 0:
            self.at(when + 15, record_of(CLIENT_LEFT, ">IQ", instance, request_id))


def servers(now: float, count: int = 6) -> list[tuple]:
    """The list's rows; the last server has just started."""
    rows = [(-9000.0, 1.0, n % 3, n % 2, bytes((10, 0, 0, n, 31, 64)), READY) for n in range(1, count)]
    return [*rows, (now - 100.0, 2.0, count % 3, count % 2, bytes((10, 0, 0, count, 31, 64)), READY)]


def record() -> str:
    """The transcript as text: for each batch, a line with what comes in and one with what goes out."""
    recorder = Recorder()
    recorder.at(1, start(1, SETTINGS))
    recorder.at(1, start(2, ON_REQUEST))
    recorder.at(1, start(3, SETTINGS))
    recorder.request(2, 3, 1, 0)  # before it has any server
    recorder.deliver(4, 1, WHOLE, servers(4))
    recorder.deliver(4, 2, WHOLE, servers(4)[:4])
    recorder.at(5, record_of(NOTE, ">IIH", 1, 2, 4, rest=b"note"))
    request_id, when = 0, 10.0
    while when < 4700:
        request_id += 1
        when += recorder.chance.expovariate(1 / 22) if not 3800 < when < 4300 else 6
        kind = recorder.chance.choices(range(5), (5, 3, 2, 2, 1))[0]
        recorder.request(when, 2 if request_id % 5 == 0 else 1, request_id, kind)
    drained = [(*servers(4)[0][:5], DRAINING)]
    recorder.deliver(2400, 1, CHANGES, drained)
    recorder.deliver(2600, 1, CHANGES, [(*drained[0][:5], GONE)])
    recorder.deliver(3400, 1, FAILED, [])
    recorder.deliver(3500, 1, WHOLE, servers(3500, 7))
    recorder.request(4720, 1, 9001, 200)  # a class that there is not
    recorder.at(4730, record_of(KILL, ">I", 2))
    recorder.at(4740, start(2, ON_REQUEST))
    recorder.deliver(4741, 2, WHOLE, [])
    recorder.request(4750, 2, 9002, 2)
    recorder.run()
    return "".join(f"in {batch.hex()}\nout {reply.hex()}\n" for batch, reply in recorder.batches)


def transcript() -> list[tuple[bytes, bytes]]:
    """The recorded batches and replies."""
    lines = [line.split() for line in read_golden(TRANSCRIPT).splitlines()]
    assert [line[0] for line in lines] == ["in", "out"] * (len(lines) // 2)
    data = [bytes.fromhex(line[1]) for line in lines]
    return list(zip(data[::2], data[1::2], strict=True))


def test_each_reply_of_the_recorded_transcript_is_the_same_to_the_byte() -> None:
    host, batches = Host(), transcript()
    stream = BytesIO(b"".join(batch for batch, _ in batches))
    for number, (_, expected) in enumerate(batches):
        got = host.handle_batch(read_batch(stream))
        assert got.hex() == expected.hex(), f"reply to batch {number}"
    assert read_batch(stream) is None


def test_the_transcript_holds_every_action_of_the_balancer_and_every_record_of_the_simulator() -> None:
    came, went = set(), set()
    for batch, reply in transcript():
        came |= {RECORD_CODES[type(record)] for record in decode_records(read_batch(BytesIO(batch)))}
        went |= {code for code, _ in actions(reply)}
    assert came == set(range(16, 27))
    assert went == {FAULT, SET_TIMER, FAIL, REJECT, ASK_LIST, PROBE, CANCEL, SEND}


@pytest.mark.parametrize(
    ("encoded", "expected"),
    [
        (encoders.close_idle_connections(3, b"\x0a\x01\x02\x03\x1f\x40"), "100000000a000000030a0102031f40"),
        (encoders.pull(3), "190000000400000003"),
        (encoders.log_line(3, "text"), "140000000a00000003000474657874"),
        (encoders.send_to_peer(3, 4, b"text"), "1b0000000e0000000300000004000474657874"),
        (encoders.fault(3, "text"), "110000000a00000003000474657874"),
    ],
)
def test_actions_that_no_transcript_holds_are_encoded_as_before(encoded: bytes, expected: str) -> None:
    assert encoded.hex() == expected


if __name__ == "__main__":
    write_golden(TRANSCRIPT, record())
