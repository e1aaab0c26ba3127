"""The adapter against the examples of the protocol description, and its errors for malformed input."""

import json
import subprocess
import sys
from io import BytesIO
from struct import pack

import pytest
from simulator_frames import (
    CACHED_UPDATE,
    EMPTY_BATCH,
    ENDPOINT_LIST,
    EXAMPLE_BATCH,
    SETTINGS,
    frame,
    instance_start,
    replies_of,
    request_received,
)

from dahliabend.config.policy_settings import read_policy_settings
from dahliabend.simulator_adapter import actions
from dahliabend.simulator_adapter.codec import Batch, decode_records, encode_reply, read_batch
from dahliabend.simulator_adapter.host import Host
from dahliabend.simulator_adapter.wire_format import (
    RECORD_CODES,
    AttemptFinished,
    ClientDisconnected,
    EndpointList,
    HealthCheckFinished,
    InstanceStop,
    RequestReceived,
    TimerFired,
)


def test_examples_of_the_protocol_description_are_decoded_and_encoded_byte_for_byte():
    assert read_batch(BytesIO(EMPTY_BATCH)) == Batch(8412.25, 0, b"")
    assert encode_reply([]) == bytes.fromhex("0000000400000000")
    batch = read_batch(BytesIO(EXAMPLE_BATCH))
    records = [(type(record), record.instance) for record in decode_records(batch)]
    assert records == [(RequestReceived, 3), (TimerFired, 3), (ClientDisconnected, 5)]
    reply = encode_reply(
        [actions.send_attempt(3, 0x528BC5D3A91C4, bytes.fromhex("0a124a071b5b"), 80.0),
         actions.set_timer(3, 0x4D, 8912.25), actions.log_line(5, "two servers known")]
    )  # fmt: skip
    assert reply.hex() == (
        "00000058000000031a0000001a00000003000528bc5d3a91c40a124a071b5b4054000000000000"
        "120000001400000003000000000000004d40c1682000000000"
        "1400000017000000050011" + b"two servers known".hex()
    )
    assert actions.send_to_peer(3, 0xFFFFFFFF, b"hi p")[:5] == bytes.fromhex("1b0000000e")


def test_request_is_sent_to_an_endpoint_and_events_of_unknown_requests_endpoints_and_timers_change_nothing():
    host = Host()
    replies = replies_of(
        host, frame(instance_start(), ENDPOINT_LIST, CACHED_UPDATE, request_received(5)), EMPTY_BATCH
    )
    assert replies[0].count(pack(">BI", 26, 26)) == 1
    assert replies[1] == encode_reply([])
    # A health check of an endpoint that is in no list
    health_check = pack(">BII6sBdB", RECORD_CODES[HealthCheckFinished], 20, 3, b"nobody", 1, 1.0, 0)
    assert replies_of(host, frame(health_check))[0] == encode_reply([])
    # A disconnection for a request that is no longer in flight, and a timer that was never set
    disconnected = pack(">BIIQ", RECORD_CODES[ClientDisconnected], 12, 3, 77)
    timer = pack(">BIIQ", RECORD_CODES[TimerFired], 12, 3, 99)
    assert replies_of(host, frame(disconnected, timer))


def test_instance_restarted_in_one_batch_uses_the_new_endpoint_list_under_a_reused_list_number():
    host = Host()
    stop = pack(">BII", RECORD_CODES[InstanceStop], 4, 3)
    empty_list = pack(">BIHI", RECORD_CODES[EndpointList], 6, 0, 0)
    first, second = replies_of(
        host,
        frame(instance_start(), ENDPOINT_LIST, CACHED_UPDATE, request_received(5)),
        frame(stop, instance_start(), empty_list, CACHED_UPDATE, request_received(6)),
    )
    assert pack(">BI", 26, 26) in first
    assert pack(">BIIQ", 21, 20, 3, 6) in second, "a request without an endpoint must be rejected"
    assert not host.instances[3].requests


@pytest.mark.parametrize(
    ("raw", "expected_text"),
    [
        (EMPTY_BATCH[:9], "batch header"), (EXAMPLE_BATCH[:-1], "cut short"),
        (frame(b"\x63\0\0\0\0"), "unknown code 99"),
        (frame(b"\x19\0\0\0\x04\0\0\0\x03"), "needed"), (pack(">dII", 1.0, 5, 0) + b"x", "left over"),
        (frame(ENDPOINT_LIST[:9] + b"\x03" + ENDPOINT_LIST[10:]), "do not fit"),
        (frame(request_received(1)), "never started"),
        (frame(instance_start(settings={"balancers": "x"})), "settings"),
        (frame(instance_start(settings={**SETTINGS, "self-index": 2})), "self-index: 2"),
        (frame(instance_start(), CACHED_UPDATE), "never sent"),
        (frame(ENDPOINT_LIST[:-3] + b"\x03\0\0"), "unknown health"),
        (frame(instance_start(settings={**SETTINGS, "profiles": []})), "settings"),
    ],
)  # fmt: skip
def test_malformed_input_exits_with_status_1_and_one_line_on_standard_error(raw, expected_text):
    completed = subprocess.run(
        [sys.executable, "-m", "dahliabend.simulator_adapter"], input=EMPTY_BATCH + raw, capture_output=True
    )
    assert completed.returncode == 1
    assert expected_text in completed.stderr.decode()
    assert completed.stderr.count(b"\n") == 1
    assert completed.stdout == encode_reply([])


def test_settings_default_optional_keys_and_reject_unknown_values():
    settings = read_policy_settings(json.dumps(SETTINGS).encode())
    assert settings.request_classes[0].latency_objective == 2_000_000
    assert not settings.can_health_check
    assert settings.tenant_quotas == ()
    assert settings.cross_zone_cost == 0  # the default: requests to other zones cost nothing extra
    profile = {**SETTINGS["profiles"][0], "semantics": "maybe"}
    with pytest.raises(ValueError, match="semantics"):
        read_policy_settings(json.dumps({**SETTINGS, "profiles": [profile]}).encode())


def test_exception_in_the_policy_is_reported_as_a_fault_action():
    host = Host()
    replies_of(host, frame(instance_start(), ENDPOINT_LIST, CACHED_UPDATE))
    host.instances[3].balancer.admit = None
    assert b"TypeError" in replies_of(host, frame(request_received(5)))[0]


def test_load_reports_do_not_change_any_decision():
    def replies_with_load_report(load):
        host, replies = Host(), []
        replies_of(host, frame(ENDPOINT_LIST, instance_start(), CACHED_UPDATE))
        for request_id in range(1, 60):
            reply = replies_of(host, frame(request_received(request_id), clock=100.0 + request_id))[0]
            replies.append(reply)
            # The address follows the header of the action, the instance and the request.
            address_start = reply.index(pack(">BI", 26, 26)) + 5 + 4 + 8
            address = reply[address_start : address_start + 6]
            duration = 40.0 if request_id % 3 else 400.0
            fields = pack(">IQHdBB6sBff", 3, request_id, 0, duration, 1, 1, address, 2, *load)
            finished = pack(">BI", RECORD_CODES[AttemptFinished], len(fields)) + fields
            replies += replies_of(host, frame(finished, clock=100.5 + request_id))
        return replies

    expected = replies_with_load_report((1.0, 0.1))
    for load in ((0.0, 0.0), (0.4, 0.05), (900.0, 1.0)):  # no load, too low, full although it is not
        assert replies_with_load_report(load) == expected
