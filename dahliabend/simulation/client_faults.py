"""Faults of clients: bursts, floods, malformed requests, and clients that all disconnect at once."""

from collections.abc import Callable

from dahliabend.simulation.balancer_faults import connect_malformed_clients
from dahliabend.simulation.fault_environment import FaultEnvironment, Undo
from dahliabend.simulation.peers.misbehaving_clients import FloodingClient
from dahliabend.simulation.scenario import MS, Fault

BURST_REQUESTS = 80  # multiplied by the fault's size
BURST_TIME = 100 * MS
FLOOD_REQUESTS = 90  # sent at once by one flooding client
FLOODING_CLIENTS = 8  # multiplied by the fault's size
HALF_CLOSE_CLIENTS = 12  # multiplied by the fault's size
MALFORMED_CLIENTS = 150  # multiplied by the fault's size


class ClientFaults:
    """The faults of clients. Each action returns a function that ends it, or None."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self.actions: dict[str, Callable[[Fault], Undo]] = {
            "crowd": self.burst,
            "flood": self.flood,
            "behind": self.send_after_half_close,
            "leave": self.disconnect_all,
            "rude": self.connect_malformed_clients,
        }

    def burst(self, fault: Fault) -> Undo:
        """Send many requests within a short time."""
        simulation = self.simulation
        rng = simulation.rng_for("crowd")
        for _ in range(int(BURST_REQUESTS * fault.size)):
            request = simulation.draw_request(rng, simulation.load)
            due = simulation.scheduler.now + int(BURST_TIME * rng.random())
            simulation.scheduler.call_at(due, simulation.client_process, simulation.clients.send, request)
        return None

    def flood(self, fault: Fault) -> Undo:
        """Have some clients pipeline more requests than a balancer reads at a time, and then disconnect."""
        simulation = self.simulation
        rng = simulation.rng_for("flood")
        for _ in range(1 + int(FLOODING_CLIENTS * fault.size)):
            trace_ids = [simulation.clients.next_trace_id() for _ in range(FLOOD_REQUESTS)]
            process = simulation.client_process
            client = FloodingClient(
                process.loop, simulation.recorder, trace_ids, simulation.spec.deadline, rng
            )
            address = simulation.rotation.next_address()
            if address is not None:
                simulation.spawn(process, client.connect(address))
        return None

    def send_after_half_close(self, fault: Fault) -> Undo:
        """Have some clients send a request on a connection that the balancer has already half-closed."""
        simulation = self.simulation
        rng = simulation.rng_for("behind")
        for _ in range(1 + int(HALF_CLOSE_CLIENTS * fault.size)):
            request = simulation.draw_request(rng, simulation.load)
            follow_up = simulation.draw_request(rng, simulation.load)
            request.disconnect_after = 0
            request.piece_interval = 0
            follow_up.piece_interval = 0
            address = simulation.rotation.next_address()
            if address is not None:
                sending = simulation.clients.send_after_half_close(request, follow_up, address)
                simulation.spawn(simulation.client_process, sending)
        return None

    def disconnect_all(self, _fault: Fault) -> Undo:
        """Disconnect all clients that wait for a response."""
        clients = self.simulation.clients

        def disconnect() -> None:
            """Disconnect in the order of the connections' numbers, which keeps the run reproducible."""
            for connection in sorted(clients.connections_in_use, key=lambda connection: connection.number):
                connection.disconnect()

        self.simulation.client_process.run(disconnect)
        return None

    def connect_malformed_clients(self, fault: Fault) -> Undo:
        """Have many clients connect, send no request or a malformed one, and stay connected."""
        simulation = self.simulation
        count = 1 + int(MALFORMED_CLIENTS * fault.size)
        next_address = simulation.rotation.next_address
        return connect_malformed_clients(simulation, simulation.client_process, count, next_address)
