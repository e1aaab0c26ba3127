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


def names(transport):
    return transport.membership.view(0).names()


def test_a_key_is_replaced_without_members_losing_each_other():
    async def run():
        one_port, other_port = free_ports(2)
        one = await open_transport(one_port, [])
        other = await open_transport(other_port, [f"127.0.0.1:{one_port}"])
        await wait_until(lambda: len(names(one)) == len(names(other)) == 2)
        for keys in ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY]):
            for each in (one, other):
                each.authenticator = DatagramAuthenticator(keys)
                received = [each.received for each in (one, other)]
                await wait_until(
                    lambda received=received: (
                        one.received > received[0] + 2 and other.received > received[1] + 2
                    )
                )
        assert not one.membership.dropped_datagrams["foreign"]
        assert len(names(one)) == len(names(other)) == 2
        one.close()
        other.close()
        assert not one._timers.heap or all(entry[2] is None for entry in one._timers.heap)

    asyncio.run(run())


def test_invalid_datagrams_are_counted_by_reason_and_dropped():
    async def run():
        (port,) = free_ports(1)
        transport = await open_transport(port, [])
        ping, _ = codec.encode_packet("x", 1, 1, Ping(1, transport.membership.name), [])
        own, other = DatagramAuthenticator([OLD_KEY]), DatagramAuthenticator([NEW_KEY])
        source = ("127.0.0.1", 9)
        for data in (b"", b"junk", other.sign(ping), ping, own.sign(ping) + b"x"):
            transport.datagram_received(data, source)
        transport.datagram_received(b"x" * 1_401, source)
        transport.datagram_received(own.sign(ping[:1] + b"\x05" + ping[2:]), source)
        transport.datagram_received(own.sign(b"\x00"), source)
        for _ in range(3):
            transport.datagram_received(own.sign(ping), source)
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
