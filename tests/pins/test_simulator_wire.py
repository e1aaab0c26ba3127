"""The simulator's protocol: recorded batches are replayed, and the replies compared byte for byte.

The transcript was recorded by `record_transcript`: a small model of clients and upstreams drives three
instances of the real policy through rejections, retries, failures, cancellations, health checks, timers and
changing lists.
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

# The protocol's codes are repeated here as numbers, because the numbers themselves are pinned.
# Records
DISCOVERY_UPDATE, PEER_MESSAGE, ATTEMPT_FINISHED, RESPONSE_STARTED, INSTANCE_START = 16, 17, 18, 19, 20
ENDPOINT_LIST, HEALTH_CHECK_FINISHED, INSTANCE_STOP, CLIENT_DISCONNECTED = 21, 22, 23, 24
TIMER_FIRED, REQUEST_RECEIVED = 25, 26
# Actions
CLOSE_IDLE_CONNECTIONS, FAULT, SET_TIMER, FAIL, REJECT = 16, 17, 18, 19, 21
POLL_ENDPOINTS, CHECK_HEALTH, CANCEL, SEND_ATTEMPT = 22, 23, 24, 26
# Outcomes of attempts and health checks, states of endpoints, scopes of discovery updates
SUCCEEDED, ATTEMPT_FAILED, REJECTED, TIMED_OUT, UNREACHABLE, RESET, CANCELLED = range(1, 8)
REMOVED, READY, DRAINING = range(3)
DELTA_LIST, FULL_LIST, CACHED_LIST, POLL_FAILED = range(4)
ENDPOINT_ENTRY = Struct(">dfHB6sBH")
END_TIME = 5000.0

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
POLLING_SETTINGS = {
    **SETTINGS, "self-index": 1, "discovery": "on_request", "fees": {"cross-zone": 0},
    "caps": {"most-hops": 2},
}  # fmt: skip


def frame(clock: float, records: list[bytes]) -> bytes:
    """Return one batch of encoded records."""
    body = b"".join(records)
    return pack(">dII", clock, len(body) + 4, len(records)) + body


def encode_record(code: int, layout: str, *fields: object, rest: bytes = b"") -> bytes:
    """Return one encoded record: its header, the fields in the given layout, then `rest`."""
    body = pack(layout, *fields) + rest
    return pack(">BI", code, len(body)) + body


def instance_start(instance: int, settings: dict) -> bytes:
    """Return a record that starts an instance with these settings."""
    text = json.dumps(settings, separators=(",", ":")).encode()
    return encode_record(INSTANCE_START, ">IQI", instance, 77 + instance, len(text), rest=text)


def endpoint_list(number: int, entries: list[tuple]) -> bytes:
    """Return an endpoint list; an entry is start time, weight, cell, zone, address and state."""
    return encode_record(
        ENDPOINT_LIST,
        ">HI",
        number,
        len(entries),
        rest=b"".join(ENDPOINT_ENTRY.pack(*entry, 0) for entry in entries),
    )


def decode_actions(reply: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the code and the encoded fields of each action of a reply."""
    length, count = unpack_from(">II", reply)
    assert length == len(reply) - 4
    position = 8
    for _ in range(count):
        code, size = unpack_from(">BI", reply, position)
        yield code, reply[position + 5 : position + 5 + size]
        position += 5 + size
    assert position == len(reply)


class Recorder:
    """A model of clients, upstreams and discovery that records each batch and its reply."""

    def __init__(self) -> None:
        self.host, self.rng = Host(), Random(20)
        self.events: list[tuple[float, int, bytes]] = []
        self.event_count = 0
        self.batches: list[tuple[bytes, bytes]] = []
        self.attempt_counts: dict[tuple[int, int], int] = {}
        self.open_attempts: dict[tuple[int, int, int], bytes] = {}
        self.streams: set[tuple[int, int]] = set()
        self.list_count = 0

    def schedule(self, when: float, record: bytes) -> None:
        """Schedule a record for the batch of the millisecond nearest to a time."""
        self.event_count += 1
        heapq.heappush(self.events, (float(round(when)), self.event_count, record))

    def run(self) -> None:
        """Exchange batches until `END_TIME`."""
        while self.events and self.events[0][0] <= END_TIME:
            now, records = self.events[0][0], []
            while self.events and self.events[0][0] == now:
                records.append(heapq.heappop(self.events)[2])
            self.exchange(now, records)

    def exchange(self, now: float, records: list[bytes]) -> None:
        batch = frame(now, [record for record in records if self.is_valid(record)])
        reply = self.host.handle_batch(read_batch(BytesIO(batch)))
        self.batches.append((batch, reply))
        for code, fields in decode_actions(reply):
            self.apply_action(now, code, fields)

    def is_valid(self, record: bytes) -> bool:
        """Return whether a scheduled record still applies: results of attempts that have ended do not."""
        if record[0] not in (ATTEMPT_FINISHED, RESPONSE_STARTED):
            return True
        key = unpack_from(">IQH", record, 5)
        if record[0] == RESPONSE_STARTED:
            return key in self.open_attempts
        return self.open_attempts.pop(key, None) is not None

    def apply_action(self, now: float, code: int, fields: bytes) -> None:
        if code == SEND_ATTEMPT:
            instance, request_id, address, timeout = unpack_from(">IQ6sd", fields)
            attempt = self.attempt_counts.get((instance, request_id), -1) + 1
            self.attempt_counts[instance, request_id] = attempt
            self.open_attempts[instance, request_id, attempt] = address
            self.schedule_response(now, instance, request_id, attempt, address, timeout)
        elif code == CANCEL:
            instance, request_id, attempt = unpack_from(">IQH", fields)
            if (instance, request_id, attempt) in self.open_attempts:
                address = self.open_attempts[instance, request_id, attempt]
                self.schedule_result(now + 1, instance, request_id, attempt, 5.0, CANCELLED, address)
        elif code == SET_TIMER:
            instance, token, when = unpack_from(">IQd", fields)
            self.schedule(max(now + 1, when), encode_record(TIMER_FIRED, ">IQ", instance, token))
        elif code == CHECK_HEALTH:
            instance, address = unpack_from(">I6s", fields)
            outcome = UNREACHABLE if self.outcome_at(address, now) == UNREACHABLE else SUCCEEDED
            load_report = pack(">f", 0.5)
            self.schedule(
                now + 6,
                encode_record(
                    HEALTH_CHECK_FINISHED, ">I6sBdB", instance, address, outcome, 6.0, 1, rest=load_report
                ),
            )
        elif code == POLL_ENDPOINTS:
            (instance,) = unpack_from(">I", fields)
            self.schedule_list(now + 3, instance, CACHED_LIST, endpoint_entries(now))

    def outcome_at(self, address: bytes, now: float) -> int:
        """Return the outcome of attempts at an upstream at a time; some upstreams fail for a while."""
        number = address[3]
        if number == 2 and 900 <= now < 1800:
            return UNREACHABLE
        if number == 3 and 1200 <= now < 2200:
            return ATTEMPT_FAILED
        if number == 4 and 1500 <= now < 2300:
            return TIMED_OUT
        if 2700 <= now < 3300:
            return REJECTED
        return RESET if number == 5 and 600 <= now < 700 else SUCCEEDED

    def schedule_response(
        self, now: float, instance: int, request_id: int, attempt: int, address: bytes, timeout: float
    ) -> None:
        outcome = self.outcome_at(address, now)
        duration = {
            SUCCEEDED: self.rng.uniform(20, 60), ATTEMPT_FAILED: 3.0, REJECTED: 2.0, TIMED_OUT: timeout,
            UNREACHABLE: 25.0, RESET: 12.0,
        }[outcome]  # fmt: skip
        if now > 3900 and outcome == SUCCEEDED:
            duration *= 6  # all upstreams become slow
        if outcome == SUCCEEDED and duration >= timeout:
            outcome, duration = TIMED_OUT, timeout
        if outcome == SUCCEEDED and (instance, request_id) in self.streams:
            self.schedule(
                now + duration / 2,
                encode_record(
                    RESPONSE_STARTED, ">IQH6sd", instance, request_id, attempt, address, duration / 2
                ),
            )
        self.schedule_result(now + duration, instance, request_id, attempt, duration, outcome, address)

    def schedule_result(
        self,
        when: float,
        instance: int,
        request_id: int,
        attempt: int,
        duration: float,
        outcome: int,
        address: bytes,
    ) -> None:
        complete = outcome == SUCCEEDED
        fields = instance, request_id, attempt, duration, complete, outcome, address, 1
        self.schedule(when, encode_record(ATTEMPT_FINISHED, ">IQHdBB6sB", *fields, rest=pack(">f", 0.25)))

    def schedule_list(self, when: float, instance: int, scope: int, entries: list[tuple]) -> None:
        if scope != POLL_FAILED:
            self.list_count += 1
            self.schedule(when, endpoint_list(self.list_count, entries))
        self.schedule(
            when, encode_record(DISCOVERY_UPDATE, ">IIBH", instance, self.list_count, scope, self.list_count)
        )

    def schedule_request(self, when: float, instance: int, request_id: int, class_index: int) -> None:
        is_repeated, key = self.rng.random() < 0.1, 1 + request_id % 3 if class_index == 3 else 0
        deadline = when + (700 if class_index != 4 else 900)
        if class_index == 4:
            self.streams.add((instance, request_id))
        fields = instance, request_id, class_index, request_id % 3 // 2, key, deadline, 0.0, 2 * is_repeated
        self.schedule(when, encode_record(REQUEST_RECEIVED, ">IQBIQddB", *fields))
        if request_id % 23 == 0:
            self.schedule(when + 15, encode_record(CLIENT_DISCONNECTED, ">IQ", instance, request_id))


def endpoint_entries(now: float, count: int = 6) -> list[tuple]:
    """Return the entries of an endpoint list, of which the last has just started."""
    entries = [(-9000.0, 1.0, n % 3, n % 2, bytes((10, 0, 0, n, 31, 64)), READY) for n in range(1, count)]
    return [*entries, (now - 100.0, 2.0, count % 3, count % 2, bytes((10, 0, 0, count, 31, 64)), READY)]


def record_transcript() -> str:
    """Return the transcript as text: a line `in` for each batch and a line `out` for its reply, in hex."""
    recorder = Recorder()
    recorder.schedule(1, instance_start(1, SETTINGS))
    recorder.schedule(1, instance_start(2, POLLING_SETTINGS))
    recorder.schedule(1, instance_start(3, SETTINGS))
    recorder.schedule_request(2, 3, 1, 0)  # before the instance has any endpoint
    recorder.schedule_list(4, 1, FULL_LIST, endpoint_entries(4))
    recorder.schedule_list(4, 2, FULL_LIST, endpoint_entries(4)[:4])
    recorder.schedule(5, encode_record(PEER_MESSAGE, ">IIH", 1, 2, 4, rest=b"note"))
    request_id, when = 0, 10.0
    while when < 4700:
        request_id += 1
        when += recorder.rng.expovariate(1 / 22) if not 3800 < when < 4300 else 6
        class_index = recorder.rng.choices(range(5), (5, 3, 2, 2, 1))[0]
        recorder.schedule_request(when, 2 if request_id % 5 == 0 else 1, request_id, class_index)
    draining_entry = [(*endpoint_entries(4)[0][:5], DRAINING)]
    recorder.schedule_list(2400, 1, DELTA_LIST, draining_entry)
    recorder.schedule_list(2600, 1, DELTA_LIST, [(*draining_entry[0][:5], REMOVED)])
    recorder.schedule_list(3400, 1, POLL_FAILED, [])
    recorder.schedule_list(3500, 1, FULL_LIST, endpoint_entries(3500, 7))
    recorder.schedule_request(4720, 1, 9001, 200)  # a request class that does not exist
    recorder.schedule(4730, encode_record(INSTANCE_STOP, ">I", 2))
    recorder.schedule(4740, instance_start(2, POLLING_SETTINGS))
    recorder.schedule_list(4741, 2, FULL_LIST, [])
    recorder.schedule_request(4750, 2, 9002, 2)
    recorder.run()
    return "".join(f"in {batch.hex()}\nout {reply.hex()}\n" for batch, reply in recorder.batches)


def read_transcript() -> list[tuple[bytes, bytes]]:
    """Return the recorded batches and replies."""
    lines = [line.split() for line in read_golden(TRANSCRIPT).splitlines()]
    assert [line[0] for line in lines] == ["in", "out"] * (len(lines) // 2)
    data = [bytes.fromhex(line[1]) for line in lines]
    return list(zip(data[::2], data[1::2], strict=True))


def test_replayed_batches_get_the_recorded_replies_byte_for_byte() -> None:
    host, batches = Host(), read_transcript()
    stream = BytesIO(b"".join(batch for batch, _ in batches))
    for number, (_, expected) in enumerate(batches):
        reply = host.handle_batch(read_batch(stream))
        assert reply.hex() == expected.hex(), f"reply to batch {number}"
    assert read_batch(stream) is None


def test_transcript_contains_every_record_and_every_action_that_the_policy_takes() -> None:
    record_codes, action_codes = set(), set()
    for batch, reply in read_transcript():
        record_codes |= {RECORD_CODES[type(record)] for record in decode_records(read_batch(BytesIO(batch)))}
        action_codes |= {code for code, _ in decode_actions(reply)}
    assert record_codes == set(range(16, 27))
    assert action_codes == {
        FAULT,
        SET_TIMER,
        FAIL,
        REJECT,
        POLL_ENDPOINTS,
        CHECK_HEALTH,
        CANCEL,
        SEND_ATTEMPT,
    }


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
def test_actions_missing_from_the_transcript_are_encoded_as_before(encoded: bytes, expected: str) -> None:
    assert encoded.hex() == expected


if __name__ == "__main__":
    write_golden(TRANSCRIPT, record_transcript())
