"""Batches in the simulator's format: the examples of its protocol description, and other frames."""

import json
from io import BytesIO
from struct import pack

from dahliabend.simulator_adapter.codec import read_batch
from dahliabend.simulator_adapter.wire_format import RECORD_CODES, InstanceStart, RequestReceived

EMPTY_BATCH = bytes.fromhex("40c06e2000000000 00000004 00000000")
EXAMPLE_BATCH = bytes.fromhex(
    "40c06e2000000000 00000055 00000003"
    "1a0000002a00000003000528bc5d3a91c4000000000091f03b7c55d20a6440c0e62000000000402800000000000001"
    "190000000c00000003000000000000004d 180000000c00000005000ffe1b0e6f2b19"
)
ENDPOINT_LIST = bytes.fromhex(
    "15000000360000000000020000000000000000 3f800000 0000 00 0a124a071b5b 01 0000"
    "40b7d40000000000 3fc00000 0000 01 0a9011f21b84 01 0000"
)
CACHED_UPDATE = bytes.fromhex("100000000b0000000300000029020000")
SETTINGS = {
    "balancers": 2, "discovery": "pushed", "a-new-key": [1],
    "profiles": [{"service-goal": 2000.0, "hard-limit": 5000.0, "semantics": "at_most_once", "other": 1}],
    "caps": {"most-hops": 3},
    "contract": {"cold-share": 0.2, "cold": 9e3, "fall-multiple": 3, "tip-after": 1e3},
}  # fmt: skip


def frame(*records, clock=100.0):
    """Return one batch of encoded records."""
    body = b"".join(records)
    return pack(">dII", clock, len(body) + 4, len(records)) + body


def instance_start(number=3, settings=None):
    """Return a record that starts an instance."""
    text = json.dumps(settings or SETTINGS).encode()
    return pack(">BIIQI", RECORD_CODES[InstanceStart], 16 + len(text), number, 9, len(text)) + text


def request_received(request, number=3):
    """Return a record of a request of the first class with a deadline at 2000 ms."""
    return pack(">BIIQBIQddB", RECORD_CODES[RequestReceived], 42, number, request, 0, 0, 0, 2000.0, 0.0, 0)


def replies_of(host, *frames):
    """Return the host's replies to the batches, in order."""
    return [host.handle_batch(read_batch(BytesIO(raw))) for raw in frames]
