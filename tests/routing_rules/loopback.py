"""Serves files of the corpus that have no faults on real loopback sockets for some minutes, with an upstream
fault every ten seconds; not part of CI.

    python tests/routing_rules/loopback.py --files 0 4 10 --minutes 5

Checks what clients and upstreams have observed: every request has exactly one response, within its timeout;
no non-idempotent request is executed twice; and every response with status 200 carries the content that an
upstream produced for that request.
"""

import argparse
import asyncio
import os
import re
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

for folder in (Path(__file__).parents[1], Path(__file__).parents[1] / "config"):
    sys.path.insert(0, str(folder))

import orjson  # noqa: E402
from corpus import generate_operator_files  # noqa: E402
from helpers import free_addresses  # noqa: E402

from dahliabend.routing_rules.loaded_file import load_file  # noqa: E402
from dahliabend.simulation.peers.client_request import ClientRequest  # noqa: E402
from dahliabend.simulation.peers.clients import Clients  # noqa: E402
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation  # noqa: E402
from dahliabend.simulation.peers.discovery import Agent, Registry  # noqa: E402
from dahliabend.simulation.peers.operators import call  # noqa: E402
from dahliabend.simulation.peers.upstream import Upstream  # noqa: E402
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec  # noqa: E402

S = 1_000_000
RATE = 8  # requests per second
LATENESS_TOLERANCE = 50_000  # microseconds
FAULT_INTERVAL = 10  # seconds at the average rate
FAULT_DURATION = 3  # seconds
FAULT_KINDS = ("hung", "failing", "garbled", "slower", "reset")


def host_and_port(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class FileRun:
    """A run of a balancer with one file: its clients and upstreams, and the events that they record."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.events = []
        self.upstreams: list[Upstream] = []

    def record(self, *event) -> None:
        self.events.append((asyncio.get_running_loop().time(), *event))

    async def start_upstream(self, name: str, address: str) -> dict:
        """Start an upstream, and return its entry in the format of the discovery service."""
        host, port = host_and_port(address)
        spec = UpstreamSpec(name, host, port, "a", 0, mean_work=4_000, idle_timeout=15 * S)
        upstream = Upstream(spec, asyncio.get_running_loop(), self.record, Random(name), 0, lambda: False)
        await upstream.open()
        self.upstreams.append(upstream)
        return {"id": name, "addr": address, "zone": "a", "cell": 0, "state": "up", "started_ms": 0}

    async def prepare(self, folder: Path) -> None:
        """Write the file with all addresses replaced by ones on loopback; start upstreams and discovery."""
        text = generate_operator_files(self.seed).files["file.toml"]
        addresses = sorted(set(re.findall(r"\d+\.\d+\.\d+\.\d+:\d+", text)))
        replacements = dict(zip(addresses, free_addresses(len(addresses)), strict=True))
        for address in sorted(addresses, key=len, reverse=True):
            text = text.replace(f'"{address}"', f'"{replacements[address]}"')
        self.path = folder / "file.toml"
        self.path.write_text(text)
        file = self.file = load_file(str(self.path)).file
        for name, pool in file.pools.items():
            if pool.members is not None:
                for member in pool.members:
                    await self.start_upstream(member.id, member.address)
                continue
            entries = [
                await self.start_upstream(f"{name}-{n}", address)
                for n, address in enumerate(free_addresses(2))
            ]
            if pool.discovery is not None:
                registry = Registry()
                for entry in entries:
                    registry.put(entry)
                agent = Agent(registry, asyncio.get_running_loop(), self.record, self.rng, 20_000)
                await agent.open(*host_and_port(pool.discovery))
            else:
                (folder / pool.file).write_bytes(orjson.dumps({"servers": entries}))

    async def run(self, folder: Path, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        await self.prepare(folder)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dahliabend", "serve", str(self.path), stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ},
        )  # fmt: skip
        listen_address = host_and_port(self.file.listeners["callers"].address)
        try:
            for _ in range(500):
                if (await call(loop, listen_address, "GET", "/-/ready"))[0] == 200:
                    break
                await asyncio.sleep(0.02)
            rotation = ConnectionRotation([listen_address])
            clients = Clients(loop, self.record, self.rng, rotation, f"f{self.seed}-")
            end = loop.time() + seconds
            request_count = 0
            while loop.time() < end:
                self.send_request(clients, request_count)
                request_count += 1
                if request_count % (FAULT_INTERVAL * RATE) == 0:
                    self.inject_fault()
                await asyncio.sleep(self.rng.expovariate(RATE))
            while clients.open_requests:
                await asyncio.sleep(0.05)
        finally:
            process.terminate()
            await process.wait()

    def send_request(self, clients: Clients, number: int) -> None:
        route = self.file.routes[number % len(self.file.routes)]
        request_class = self.file.classes[route.class_]
        timeout = min(request_class.hard_limit, route.total_time or request_class.hard_limit)
        method = route.methods[0] if route.methods else "GET"
        headers = tuple(route.headers.items())
        request = ClientRequest(
            clients.next_trace_id(),
            request_class.effect,
            timeout,
            timeout,
            path=route.path,
            method=method,
            headers=headers,
        )
        if request.method == "POST":
            request.body = b"x" * 50
        clients.send(request)

    def inject_fault(self) -> None:
        upstream = self.rng.choice(self.upstreams)
        fault_kind = self.rng.choice(FAULT_KINDS)
        if fault_kind == "reset":
            upstream.reset_all()
            return
        normal_value = getattr(upstream, fault_kind)
        fault_value = {"hung": True, "failing": 0.9, "garbled": 0.5, "slower": 8.0}[fault_kind]
        setattr(upstream, fault_kind, fault_value)
        asyncio.get_running_loop().call_later(FAULT_DURATION, setattr, upstream, fault_kind, normal_value)

    def violations(self) -> list[str]:
        requests = {event[2]: event for event in self.events if event[1] == "asked"}
        answer_counts = Counter(event[2] for event in self.events if event[1] == "answer")
        execution_counts = Counter(event[2] for event in self.events if event[1] == "effect")
        produced = {(event[2], event[3]) for event in self.events if event[1] == "made"}
        violations = [
            f"{trace_id}: {answer_counts[trace_id]} responses"
            for trace_id in requests
            if answer_counts[trace_id] != 1
        ]
        for at, _, trace_id, status, body in (event for event in self.events if event[1] == "answer"):
            if status == 200 and (trace_id, body) not in produced:
                violations.append(f"{trace_id}: status 200 with content that no upstream produced for it")
            sent_at = requests[trace_id][0]
            timeout = requests[trace_id][5]
            if at - sent_at > (timeout + LATENESS_TOLERANCE) / 1e6:
                violations.append(f"{trace_id}: response after its timeout")
        violations += [
            f"{trace_id}: executed {execution_counts[trace_id]} times"
            for trace_id, event in requests.items()
            if event[3] == "non-idempotent" and execution_counts[trace_id] > 1
        ]
        return violations


async def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--files", type=int, nargs="+", default=[0, 4, 10])
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    runs = [FileRun(seed) for seed in options.files]
    with tempfile.TemporaryDirectory() as parent_folder:
        folders = [Path(parent_folder) / str(run.seed) for run in runs]
        for folder in folders:
            folder.mkdir()
        await asyncio.gather(
            *(run.run(folder, options.minutes * 60) for run, folder in zip(runs, folders, strict=True))
        )
    violation_count = 0
    for run in runs:
        statuses = Counter(event[3] for event in run.events if event[1] == "answer")
        violations = run.violations()
        violation_count += len(violations)
        print(
            f"file {run.seed}: {sum(statuses.values())} responses {dict(statuses)}; "
            f"{len(violations)} violations {violations[:3]}"
        )
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
