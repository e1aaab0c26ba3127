"""Discovery services that refuse watches, restart their versions or are unavailable, over sockets."""

import socket
import time
from contextlib import closing
from queue import Queue
from threading import Thread

from helpers import (
    CONF,
    PATIENCE,
    Client,
    DiscoveryAgent,
    Upstream,
    call_admin,
    make_response,
    server_entry,
    start_balancer,
    wait_for_event,
    wait_until,
)


class RefusingDiscoveryService(DiscoveryAgent):
    """Refuses every watch; `times` holds the time of each request."""

    def __init__(self):
        self.times = Queue()
        super().__init__()

    def serve(self, conn):
        conn.recv(4096)
        self.times.put(time.monotonic())
        conn.sendall(make_response(b"", "HTTP/1.1 503 Busy"))


def test_a_discovery_service_that_refuses_is_retried_by_one_timer_with_backoff():
    upstream = Upstream()
    settings = {"discovery": "on_request", "contract": {**CONF["contract"], "ask-within": 80.0}}
    with (
        closing(upstream),
        start_balancer(agent=(agent := RefusingDiscoveryService()), ready=False, settings=settings),
    ):
        times = [agent.times.get(timeout=PATIENCE) for _ in range(8)]
        # The shortest delay before each retry is half of the backoff, which doubles from 100 ms up to 1 s.
        assert times[-1] - times[0] >= 0.05 + 0.1 + 0.2 + 0.4 + 3 * 0.5


class RestartedDiscoveryService(DiscoveryAgent):
    """Restarts its versions after the first watch and answers the second one with changes only."""

    def serve(self, conn):
        request = conn.recv(4096).split(b"\r\n")[0].decode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watch_connections.append(conn)
        self.send_update(*self.servers[len(self.watch_connections) - 1])
        self.watch_requests.put(request)
        if len(self.watch_connections) > 1:
            conn.recv(1)


def test_a_list_whose_versions_were_restarted_is_requested_in_full():
    first_upstream, second_upstream = Upstream(), Upstream()
    lists = (
        (41, True, server_entry("s-0", first_upstream)),
        (3, False),
        (3, True, server_entry("s-1", second_upstream)),
    )
    with (
        closing(first_upstream),
        closing(second_upstream),
        start_balancer(agent=(agent := RestartedDiscoveryService(*lists))) as (address, _, _),
    ):
        asked = [agent.watch_requests.get(timeout=PATIENCE) for _ in range(3)]
        assert ["after" in path for path in asked] == [False, True, False]
        wait_until(
            lambda: (
                Client(address).request("submit", "POST")[0] == 200
                and not second_upstream.received_requests.empty()
            )
        )


def test_idle_clients_that_use_all_descriptors_while_discovery_is_unavailable_do_not_block_requests():
    first_upstream, second_upstream = Upstream(), Upstream()
    first_agent = DiscoveryAgent(server_entry("s-0", first_upstream), server_entry("s-1", second_upstream))
    with (
        start_balancer(agent=first_agent, limits={"sockets": 64}) as (address, process, _),
        closing(first_upstream),
        closing(second_upstream),
    ):
        host, port = first_agent.address.split(":")
        first_agent.close()
        wait_for_event(process, "watch.ended")
        idle_sockets = [
            socket.create_connection((address.split(":")[0], int(address.split(":")[1]))) for _ in range(100)
        ]
        wait_until(lambda: wait_for_event(process, "watch.ended"))  # it is retried beside the idle clients
        restarted_agent = DiscoveryAgent.__new__(DiscoveryAgent)
        restarted_agent.watch_requests = Queue()
        restarted_agent.watch_connections = []
        restarted_agent.servers = (server_entry("s-1", second_upstream),)
        restarted_agent.open = []
        restarted_agent.sock = socket.create_server((host, int(port)))
        Thread(target=restarted_agent.accept_connections, daemon=True).start()
        with closing(restarted_agent):
            # Until the list without s-0 is applied, which then drains and receives no requests.
            while wait_for_event(process, "endpoint_list.applied")["entries"] != 1:
                pass
            assert call_admin(process.admin, "/api/ready")[0] == 200
            statuses = []
            # Requests are rejected for 0.3 s, until the connections that fill the table are old enough to be
            # evicted; none is lost.
            while statuses.count(200) < 4:
                statuses.append(Client(address).request("submit", "POST", trace_id=f"t{len(statuses)}")[0])
                assert statuses[-1] in (200, 503)
                assert len(statuses) < 1000
            assert first_upstream.received_requests.empty()
            assert second_upstream.received_requests.qsize() == 4
        for sock in idle_sockets:
            sock.close()
