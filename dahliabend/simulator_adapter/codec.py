"""Decoding of the simulator's batches and encoding of the replies. Malformed input raises an error."""

import math
from collections.abc import Iterator, Sequence
from struct import Struct
from typing import BinaryIO, NamedTuple

from dahliabend.errors import SimulatorProtocolError
from dahliabend.simulator_adapter.wire_format import (
    BATCH_HEADER,
    RECORD_FORMATS,
    RECORD_HEADER,
    Record,
)

# Creates a record from its type and fields. The format already guarantees the number of fields, so the named
# tuple's own constructor would check nothing more, and it is slower; this runs once for each record.
_new_record = tuple.__new__
COUNT_BYTES = 4  # size of the count of records or actions; the length field before it includes these bytes
MAX_BATCH_BYTES = 1 << 30
REPLY_HEADER = Struct(">II")  # number of bytes after this field, number of actions


class Batch(NamedTuple):
    """Records that the simulator sends together, all at the same simulated time."""

    clock: float  # simulated time in milliseconds
    record_count: int
    body: bytes  # the encoded records


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read the next batch from a stream, without decoding its records.

    Args:
        stream: A blocking stream that the simulator writes to.

    Returns:
        The batch, or None at the end of the input.

    Raises:
        SimulatorProtocolError: The batch is truncated or its header is invalid.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise SimulatorProtocolError(f"batch header: {len(header)} bytes, {BATCH_HEADER.size} needed")
    clock, length, record_count = BATCH_HEADER.unpack(header)
    if not math.isfinite(clock):
        raise SimulatorProtocolError(f"batch header: clock is {clock}")
    if not COUNT_BYTES <= length <= MAX_BATCH_BYTES:
        raise SimulatorProtocolError(
            f"batch header: length {length} is not between {COUNT_BYTES} and {MAX_BATCH_BYTES}"
        )
    body_bytes = length - COUNT_BYTES
    body = stream.read(body_bytes)
    if len(body) < body_bytes:
        raise SimulatorProtocolError(f"batch cut short: {len(body)} of {body_bytes} bytes of records")
    return Batch(clock, record_count, body)


def decode_records(batch: Batch) -> Iterator[Record]:
    """Decode the records of a batch one by one.

    Raises:
        SimulatorProtocolError: A record has an unknown code, or its length does not match its fields or the
            batch.
    """
    body = batch.body
    end = len(body)
    header_bytes = RECORD_HEADER.size
    unpack_header = RECORD_HEADER.unpack_from
    position = 0
    for number in range(batch.record_count):
        if position + header_bytes > end:
            raise SimulatorProtocolError(f"record {number} at byte {position}: header cut short")
        code, size = unpack_header(body, position)
        record_format = RECORD_FORMATS.get(code)
        if record_format is None:
            raise SimulatorProtocolError(f"record {number} at byte {position}: unknown code {code}")
        wire_name, record_type, fixed_part, item_bytes = record_format
        start = position + header_bytes
        position = start + size
        fixed_bytes = fixed_part.size
        if position > end:
            raise _record_error(number, wire_name, start, f"{size} bytes run past the batch")
        if size < fixed_bytes:
            raise _record_error(number, wire_name, start, f"{size} bytes, {fixed_bytes} needed")
        fields = fixed_part.unpack_from(body, start)
        if size != fixed_bytes + (fields[-1] * item_bytes if item_bytes else 0):
            raise _record_error(number, wire_name, start, f"{size} bytes do not fit its fields")
        if item_bytes:
            fields = (*fields, body[start + fixed_bytes : position])
        yield _new_record(record_type, fields)
    if position != end:
        raise SimulatorProtocolError(
            f"{end - position} bytes left over behind the last of {batch.record_count} records"
        )


def _record_error(number: int, wire_name: str, start: int, reason: str) -> SimulatorProtocolError:
    return SimulatorProtocolError(f"record {number} ({wire_name}) at byte {start}: {reason}")


def encode_reply(actions: Sequence[bytes]) -> bytes:
    """Encode the reply to one batch from its encoded actions, in the given order."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(len(body) + COUNT_BYTES, len(actions)) + body
