"""The codec against the wire note's example bytes, and against what must not be guessed."""

import json
import subprocess
import sys
from io import BytesIO
from struct import pack

import pytest

from dahliabend.config.platform import read_policy_settings
from dahliabend.simulator_adapter import codec as wire
from dahliabend.simulator_adapter.host import Host

EMPTY = bytes.fromhex("40c06e2000000000 00000004 00000000")
BATCH = bytes.fromhex(
    "40c06e2000000000 00000055 00000003"
    "1a0000002a00000003000528bc5d3a91c4000000000091f03b7c55d20a6440c0e62000000000402800000000000001"
    "190000000c00000003000000000000004d 180000000c00000005000ffe1b0e6f2b19"
)
CENSUS = bytes.fromhex(
    "15000000360000000000020000000000000000 3f800000 0000 00 0a124a071b5b 01 0000"
    "40b7d40000000000 3fc00000 0000 01 0a9011f21b84 01 0000"
)
CACHED = bytes.fromhex("100000000b0000000300000029020000")
CONF = {
    "balancers": 2, "discovery": "pushed", "a-new-key": [1],
    "profiles": [{"service-goal": 2000.0, "hard-limit": 5000.0, "semantics": "at_most_once", "other": 1}],
    "caps": {"most-hops": 3},
    "contract": {"cold-share": 0.2, "cold": 9e3, "fall-multiple": 3, "tip-after": 1e3},
}  # fmt: skip


def frame(*records, clock=100.0):
    body = b"".join(records)
    return pack(">dII", clock, len(body) + 4, len(records)) + body


def spawn(number=3, conf=None):
    text = json.dumps(conf or CONF).encode()
    return pack(">BIIQI", wire.SPAWN, 16 + len(text), number, 9, len(text)) + text


def job(ref, number=3):
    return pack(">BIIQBIQddB", wire.JOB_IN, 42, number, ref, 0, 0, 0, 2000.0, 0.0, 0)


def play(host, *frames):
    return [host.batch(*wire.read_frame(BytesIO(raw))) for raw in frames]


def test_example_frames():
    assert wire.read_frame(BytesIO(EMPTY)) == (8412.25, 0, b"") and wire.reply([]) == bytes.fromhex(
        "0000000400000000"
    )
    _, count, body = wire.read_frame(BytesIO(BATCH))
    codes = [(code, fields[0]) for code, fields, _ in wire.records(body, count)]
    assert codes == [(wire.JOB_IN, 3), (wire.BELL, 3), (wire.CLIENT_GONE, 5)]
    reply = wire.reply(
        [wire.send_attempt(3, 0x528BC5D3A91C4, bytes.fromhex("0a124a071b5b"), 80.0),
         wire.set_timer(3, 0x4D, 8912.25), wire.log_line(5, "two servers known")]
    )  # fmt: skip
    assert reply.hex() == (
        "00000058000000031a0000001a00000003000528bc5d3a91c40a124a071b5b4054000000000000"
        "120000001400000003000000000000004d40c1682000000000"
        "1400000017000000050011" + b"two servers known".hex()
    )
    assert wire.send_to_peer(3, 0xFFFFFFFF, b"hi p")[:5] == bytes.fromhex("1b0000000e")


def test_a_transaction_goes_out_and_its_end_is_kept_to_itself():
    host = Host()
    replies = play(host, frame(spawn(), CENSUS, CACHED, job(5)), EMPTY)
    assert replies[0].count(pack(">BI", 26, 26)) == 1 and replies[1] == wire.reply([])
    health = pack(">BII6sBdB", wire.HEALTH, 20, 3, b"nobody", 1, 1.0, 0)  # of an upstream in no list
    assert play(host, frame(health))[0] == wire.reply([])
    gone = pack(">BIIQ", wire.CLIENT_GONE, 12, 3, 77)  # one already dropped, and a bell nobody waits for
    assert play(host, frame(gone, pack(">BIIQ", wire.BELL, 12, 3, 99)))


def test_killed_and_started_again_in_one_batch_with_a_list_number_reused():
    host = Host()
    kill = pack(">BII", wire.CRASH_NOW, 4, 3)
    none = pack(">BIHI", wire.CENSUS, 6, 0, 0)
    first, second = play(
        host, frame(spawn(), CENSUS, CACHED, job(5)), frame(kill, spawn(), none, CACHED, job(6))
    )
    assert pack(">BI", 26, 26) in first
    assert (
        pack(">BIIQ", 21, 20, 3, 6) in second and not host.instances[3].requests
    )  # no upstreams: rolled back


@pytest.mark.parametrize(
    ("raw", "word"),
    [
        (EMPTY[:9], "batch header"), (BATCH[:-1], "cut short"), (frame(b"\x63\0\0\0\0"), "unknown code 99"),
        (frame(b"\x19\0\0\0\x04\0\0\0\x03"), "needed"), (pack(">dII", 1.0, 5, 0) + b"x", "left over"),
        (frame(CENSUS[:9] + b"\x03" + CENSUS[10:]), "do not fit"), (frame(job(1)), "never started"),
        (frame(spawn(conf={"balancers": "x"})), "settings"),
        (frame(spawn(conf={**CONF, "self-index": 2})), "self-index: 2"),
        (frame(spawn(), CACHED), "never sent"),
        (frame(CENSUS[:-3] + b"\x03\0\0"), "unknown health"),
        (frame(spawn(conf={**CONF, "profiles": []})), "settings"),
    ],
)  # fmt: skip
def test_malformed_input_ends_with_one_plain_message(raw, word):
    done = subprocess.run(
        [sys.executable, "-m", "dahliabend.simulator_adapter"], input=EMPTY + raw, capture_output=True
    )
    assert done.returncode == 1 and word in done.stderr.decode() and done.stderr.count(b"\n") == 1
    assert done.stdout == wire.reply([])


def test_settings_take_optional_keys_and_refuse_what_they_do_not_know():
    own = read_policy_settings(json.dumps(CONF).encode())
    assert (
        own.request_classes[0].latency_objective == 2_000_000
        and not own.can_health_check
        and own.tenant_quotas == ()
    )
    assert own.cross_zone_cost == 0  # as where crossing costs nothing: the zone's share is never read
    with pytest.raises(ValueError, match="semantics"):
        read_policy_settings(
            json.dumps({**CONF, "profiles": [{**CONF["profiles"][0], "semantics": "maybe"}]}).encode()
        )


def test_an_error_in_the_decisions_is_a_fault():
    host = Host()
    play(host, frame(spawn(), CENSUS, CACHED))
    host.instances[3].balancer.admit = None
    assert b"TypeError" in play(host, frame(job(5)))[0]


def test_no_load_report_true_or_untrue_changes_what_is_done():
    def replies(load):
        host, got = Host(), []
        play(host, frame(CENSUS, spawn(), CACHED))
        for ref in range(1, 60):
            reply = play(host, frame(job(ref), clock=100.0 + ref))[0]
            got.append(reply)
            at = reply.index(pack(">BI", 26, 26)) + 5 + 4 + 8
            took = 40.0 if ref % 3 else 400.0
            fields = pack(">IQHdBB6sBff", 3, ref, 0, took, 1, 1, reply[at : at + 6], 2, *load)
            returned = pack(">BI", wire.RETURNED, len(fields)) + fields
            got += play(host, frame(returned, clock=100.5 + ref))
        return got

    stuck = replies((1.0, 0.1))
    for load in ((0.0, 0.0), (0.4, 0.05), (900.0, 1.0)):  # nothing, too little, full while it is not
        assert replies(load) == stuck
