"""Frames and records of the bench's wire, big-endian, by `struct`. Nothing is guessed: bad input raises."""

from collections.abc import Iterator
from struct import Struct, pack
from typing import BinaryIO

UPDATE, WHISPER, RETURNED, HEAD_RECEIVED, SPAWN, CENSUS, HEALTH = 16, 17, 18, 19, 20, 21, 22
CRASH_NOW, CLIENT_GONE, BELL, JOB_IN = 23, 24, 25, 26
NAMES = {
    UPDATE: "UPDATE", WHISPER: "WHISPER", RETURNED: "RETURNED", HEAD_RECEIVED: "HEAD_RECEIVED",
    SPAWN: "SPAWN", CENSUS: "CENSUS", HEALTH: "HEALTH", CRASH_NOW: "CRASH_NOW",
    CLIENT_GONE: "CLIENT_GONE", BELL: "BELL", JOB_IN: "JOB_IN",
}  # fmt: skip

HEADER = Struct(">dII")
RECORD = Struct(">BI")
ENTRY = Struct(">dfHB6sBH")
# fixed part of each record, and the size of an item counted by its last field (0: none)
_LAYOUTS = {
    UPDATE: (Struct(">IIBH"), 0),
    WHISPER: (Struct(">IIH"), 1),
    RETURNED: (Struct(">IQHdBB6sB"), 4),
    HEAD_RECEIVED: (Struct(">IQH6sd"), 0),
    SPAWN: (Struct(">IQI"), 1),
    CENSUS: (Struct(">HI"), ENTRY.size),
    HEALTH: (Struct(">I6sBdB"), 4),
    CRASH_NOW: (Struct(">I"), 0),
    CLIENT_GONE: (Struct(">IQ"), 0),
    BELL: (Struct(">IQ"), 0),
    JOB_IN: (Struct(">IQBIQddB"), 0),
}
_MOST_FRAME = 1 << 30


class Malformed(Exception):
    """Input that breaks the wire's layout: what is wrong, and where."""


def read_frame(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """The next batch's clock (ms), record count and records; None when the input has ended."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise Malformed(f"batch header: {len(head)} bytes, {HEADER.size} needed")
    clock, rest, count = HEADER.unpack(head)
    if clock != clock or clock in (float("inf"), float("-inf")):
        raise Malformed(f"batch header: clock is {clock}")
    if not 4 <= rest <= _MOST_FRAME:
        raise Malformed(f"batch header: length {rest} cannot hold a batch")
    body = stream.read(rest - 4)
    if len(body) < rest - 4:
        raise Malformed(f"batch cut short: {len(body)} of {rest - 4} bytes of records")
    return clock, count, body


def records(body: bytes, count: int) -> Iterator[tuple[int, tuple, bytes]]:
    """Each record's code, its fixed fields and the bytes counted behind them."""
    at, end = 0, len(body)
    for number in range(count):
        if at + RECORD.size > end:
            raise Malformed(f"record {number} at byte {at}: header cut short")
        code, size = RECORD.unpack_from(body, at)
        layout = _LAYOUTS.get(code)
        if layout is None:
            raise Malformed(f"record {number} at byte {at}: unknown code {code}")
        start = at + RECORD.size
        at = start + size
        if at > end:
            raise Malformed(
                f"record {number} ({NAMES[code]}) at byte {start}: {size} bytes run past the batch"
            )
        fixed, item = layout
        if size < fixed.size:
            raise Malformed(
                f"record {number} ({NAMES[code]}) at byte {start}: {size} bytes, {fixed.size} needed"
            )
        fields = fixed.unpack_from(body, start)
        if size != fixed.size + (fields[-1] * item if item else 0):
            raise Malformed(
                f"record {number} ({NAMES[code]}) at byte {start}: {size} bytes do not fit its fields"
            )
        yield code, fields, body[start + fixed.size : at]
    if at != end:
        raise Malformed(f"{end - at} bytes left over behind the last of {count} records")


def reply(actions: list[bytes]) -> bytes:
    body = b"".join(actions)
    return pack(">II", len(body) + 4, len(actions)) + body


def _action(code: int, layout: str):
    body = Struct(layout)
    whole = Struct(">BI" + layout[1:])
    size = body.size
    pack_whole = whole.pack

    def build(*fields) -> bytes:
        return pack_whole(code, size, *fields)

    return build


fault_head, log_head, memo_head = 17, 20, 27
close_idle_connections = _action(16, ">I6s")
set_timer = _action(18, ">IQd")
fail = _action(19, ">IQ")
reject = _action(21, ">IQd")
subscribe = _action(22, ">IB")
check_health = _action(23, ">I6s")
cancel = _action(24, ">IQH")
pull = _action(25, ">I")
send_attempt = _action(26, ">IQ6sd")


def _text(code: int, head: bytes, text: bytes) -> bytes:
    text = text[:65535]
    return pack(">BI", code, len(head) + 2 + len(text)) + head + pack(">H", len(text)) + text


def fault(instance: int, text: str) -> bytes:
    return _text(fault_head, pack(">I", instance), text.encode(errors="replace"))


def log_line(instance: int, text: str) -> bytes:
    return _text(log_head, pack(">I", instance), text.encode(errors="replace"))


def send_to_peer(instance: int, peer: int, contents: bytes) -> bytes:
    return _text(memo_head, pack(">II", instance, peer), contents)
