"""Discovery services that refuse watches, restart their versions or are unavailable, over sockets."""

import socket
import time
from contextlib import closing
from queue import Queue
from threading import Thread

from helpers import (
    CONF,
    PATIENCE,
    Agent,
    Caller,
    Upstream,
    answer,
    call,
    entry,
    logged,
    program,
    until,
)


class RefusingDiscoveryService(Agent):
    """Refuses every watch; `times` holds the time of each request."""

    def __init__(self):
        self.times = Queue()
        super().__init__()

    def serve(self, conn):
        conn.recv(4096)
        self.times.put(time.monotonic())
        conn.sendall(answer(b"", "HTTP/1.1 503 Busy"))


def test_a_discovery_service_that_refuses_is_retried_by_one_timer_with_backoff():
    upstream = Upstream()
    settings = {"discovery": "on_request", "contract": {**CONF["contract"], "ask-within": 80.0}}
    with closing(upstream), program(agent=(agent := RefusingDiscoveryService()), ready=False, conf=settings):
        times = [agent.times.get(timeout=PATIENCE) for _ in range(8)]
        # The shortest delay before each retry is half of the backoff, which doubles from 100 ms up to 1 s.
        assert times[-1] - times[0] >= 0.05 + 0.1 + 0.2 + 0.4 + 3 * 0.5


class RestartedDiscoveryService(Agent):
    """Restarts its versions after the first watch and answers the second one with changes only."""

    def serve(self, conn):
        request = conn.recv(4096).split(b"\r\n")[0].decode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(conn)
        self.tell(*self.servers[len(self.watches) - 1])
        self.asked.put(request)
        if len(self.watches) > 1:
            conn.recv(1)


def test_a_list_whose_versions_were_restarted_is_requested_in_full():
    first_upstream, second_upstream = Upstream(), Upstream()
    lists = (41, True, entry("s-0", first_upstream)), (3, False), (3, True, entry("s-1", second_upstream))
    with (
        closing(first_upstream),
        closing(second_upstream),
        program(agent=(agent := RestartedDiscoveryService(*lists))) as (address, _, _),
    ):
        asked = [agent.asked.get(timeout=PATIENCE) for _ in range(3)]
        assert ["after" in path for path in asked] == [False, True, False]
        until(lambda: Caller(address).ask("submit", "POST")[0] == 200 and not second_upstream.came.empty())


def test_idle_clients_that_use_all_descriptors_while_discovery_is_unavailable_do_not_block_requests():
    first_upstream, second_upstream = Upstream(), Upstream()
    first_agent = Agent(entry("s-0", first_upstream), entry("s-1", second_upstream))
    with (
        program(agent=first_agent, limits={"sockets": 64}) as (address, process, _),
        closing(first_upstream),
        closing(second_upstream),
    ):
        host, port = first_agent.address.split(":")
        first_agent.close()
        logged(process, "watch.ended")
        idle_sockets = [
            socket.create_connection((address.split(":")[0], int(address.split(":")[1]))) for _ in range(100)
        ]
        until(lambda: logged(process, "watch.ended"))  # it is retried beside the idle clients
        restarted_agent = Agent.__new__(Agent)
        restarted_agent.asked = Queue()
        restarted_agent.watches = []
        restarted_agent.servers = (entry("s-1", second_upstream),)
        restarted_agent.open = []
        restarted_agent.sock = socket.create_server((host, int(port)))
        Thread(target=restarted_agent.accept, daemon=True).start()
        with closing(restarted_agent):
            # Until the list without s-0 is applied, which then drains and receives no requests.
            while logged(process, "endpoint_list.applied")["entries"] != 1:
                pass
            assert call(process.admin, "/api/ready")[0] == 200
            statuses = []
            # Requests are rejected for 0.3 s, until the connections that fill the table are old enough to be
            # evicted; none is lost.
            while statuses.count(200) < 4:
                statuses.append(Caller(address).ask("submit", "POST", trace=f"t{len(statuses)}")[0])
                assert statuses[-1] in (200, 503)
                assert len(statuses) < 1000
            assert first_upstream.came.empty()
            assert second_upstream.came.qsize() == 4
        for sock in idle_sockets:
            sock.close()
