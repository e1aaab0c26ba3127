"""List services that refuse, begin anew or are away, over sockets."""

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


class RefusingListService(Agent):
    """Turns every watch away; `times` has when they came."""

    def __init__(self):
        self.times = Queue()
        super().__init__()

    def serve(self, conn):
        conn.recv(4096)
        self.times.put(time.monotonic())
        conn.sendall(answer(b"", "HTTP/1.1 503 Busy"))


def test_a_list_service_that_refuses_is_retried_by_one_timer_with_backoff():
    up = Upstream()
    settings = {"discovery": "on_request", "contract": {**CONF["contract"], "ask-within": 80.0}}
    with closing(up), program(agent=(agent := RefusingListService()), ready=False, conf=settings):
        times = [agent.times.get(timeout=PATIENCE) for _ in range(8)]
        # The least of each wait, doubled from half of 100 ms up to half of 1 s.
        assert times[-1] - times[0] >= 0.05 + 0.1 + 0.2 + 0.4 + 3 * 0.5


class RestartedListService(Agent):
    """Its count begins anew between the first watch and the second, which it answers with changes alone."""

    def serve(self, conn):
        request = conn.recv(4096).split(b"\r\n")[0].decode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(conn)
        self.tell(*self.servers[len(self.watches) - 1])
        self.asked.put(request)
        if len(self.watches) > 1:
            conn.recv(1)


def test_a_list_whose_versions_began_anew_is_requested_in_full():
    one, two = Upstream(), Upstream()
    lists = (41, True, entry("s-0", one)), (3, False), (3, True, entry("s-1", two))
    with (
        closing(one),
        closing(two),
        program(agent=(agent := RestartedListService(*lists))) as (address, _, _),
    ):
        asked = [agent.asked.get(timeout=PATIENCE) for _ in range(3)]
        assert ["after" in path for path in asked] == [False, True, False]
        until(lambda: Caller(address).ask("submit", "POST")[0] == 200 and not two.came.empty())


def test_idle_clients_that_use_all_descriptors_while_discovery_is_away_block_nobody():
    one, two = Upstream(), Upstream()
    first = Agent(entry("s-0", one), entry("s-1", two))
    with program(agent=first, limits={"sockets": 64}) as (address, process, _), closing(one), closing(two):
        host, port = first.address.split(":")
        first.close()
        logged(process, "watch.ended")
        idle = [
            socket.create_connection((address.split(":")[0], int(address.split(":")[1]))) for _ in range(100)
        ]
        until(lambda: logged(process, "watch.ended"))  # it is tried again, among these
        back = Agent.__new__(Agent)
        back.asked, back.watches, back.servers, back.open = Queue(), [], (entry("s-1", two),), []
        back.sock = socket.create_server((host, int(port)))
        Thread(target=back.accept, daemon=True).start()
        with closing(back):
            while (
                logged(process, "endpoint_list.applied")["entries"] != 1
            ):  # without s-0: it drains, and is left out
                pass
            assert call(process.admin, "/api/ready")[0] == 200
            statuses = []
            # Refused while all that fill the table are too fresh to be sent away, 0.3 s; never lost.
            while statuses.count(200) < 4:
                statuses.append(Caller(address).ask("submit", "POST", trace=f"t{len(statuses)}")[0])
                assert statuses[-1] in (200, 503)
                assert len(statuses) < 1000
            assert one.came.empty()
            assert two.came.qsize() == 4
        for sock in idle:
            sock.close()
