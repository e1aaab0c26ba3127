"""The protocol on real sockets."""

import asyncio
from random import Random

import pytest
from polling import wait_until

from dahliabend.membership import codec
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.messages import Ping
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.process_tests.processes import free_ports
from dahliabend.transport.timers import TimerQueue

OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32
CONFIG = SwimConfig(period=100_000)


async def open_transport(port, seeds, keys=(OLD_KEY,)):
    protocol = MembershipProtocol(f"b{port}", 1, f"127.0.0.1:{port}", CONFIG, Random(port))
    transport = UdpTransport(
        protocol,
        DatagramAuthenticator(list(keys)),
        TimerQueue(asyncio.get_running_loop()),
        lambda event: None,
    )
    await transport.open(("127.0.0.1", port), seeds)
    return transport


def member_names(transport):
    return transport.membership.view(0).names()


def test_a_key_is_replaced_without_members_losing_each_other():
    async def run():
        first_port, second_port = free_ports(2)
        first = await open_transport(first_port, [])
        second = await open_transport(second_port, [f"127.0.0.1:{first_port}"])
        await wait_until(lambda: len(member_names(first)) == len(member_names(second)) == 2)
        for keys in ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY]):
            for transport in (first, second):
                transport.authenticator = DatagramAuthenticator(keys)
                received = [transport.received for transport in (first, second)]
                await wait_until(
                    lambda received=received: (
                        first.received > received[0] + 2 and second.received > received[1] + 2
                    )
                )
        assert not first.membership.dropped_datagrams["foreign"]
        assert len(member_names(first)) == len(member_names(second)) == 2
        first.close()
        second.close()
        assert not first._timers.heap or all(entry[2] is None for entry in first._timers.heap)

    asyncio.run(run())


def test_invalid_datagrams_are_counted_by_reason_and_dropped():
    async def run():
        (port,) = free_ports(1)
        transport = await open_transport(port, [])
        ping, _ = codec.encode_packet("x", 1, 1, Ping(1, transport.membership.name), [])
        right_key, wrong_key = DatagramAuthenticator([OLD_KEY]), DatagramAuthenticator([NEW_KEY])
        source = ("127.0.0.1", 9)
        for data in (b"", b"junk", wrong_key.sign(ping), ping, right_key.sign(ping) + b"x"):
            transport.datagram_received(data, source)
        transport.datagram_received(b"x" * 1_401, source)
        transport.datagram_received(right_key.sign(ping[:1] + b"\x05" + ping[2:]), source)
        transport.datagram_received(right_key.sign(b"\x00"), source)
        for _ in range(3):
            transport.datagram_received(right_key.sign(ping), source)
        dropped = transport.membership.dropped_datagrams
        assert dropped == {"foreign": 5, "oversized": 1, "newer": 1, "unreadable": 1, "replayed": 2}
        transport.close()

    asyncio.run(run())


def test_an_address_in_use_raises_and_leaves_no_socket_open():
    async def run():
        (port,) = free_ports(1)
        first = await open_transport(port, [])
        with pytest.raises(OSError, match="already in use"):
            await open_transport(port, [])
        first.close()

    asyncio.run(run())
