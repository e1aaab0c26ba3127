"""Virtual time: one queue of events, the processes that own them, and an event loop for each process.

What is due at the same microsecond runs in the order in which it was asked for, so the order of all events
is a function of the seed. A process that was killed runs nothing more; one that is stalled runs it later.
"""

import asyncio
import signal
from asyncio import events
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush

START = 1_000_000_000  # microseconds: what the virtual clock shows first
EPOCH = 1_700_000_000_000_000  # Unix time in microseconds at virtual 0


class Runaway(RuntimeError):
    """More events than a run may have: something goes round without time passing, or without end."""


class Entry:
    """Something to be run; the handle that a loop's callers cancel."""

    __slots__ = ("arguments", "call", "context", "due", "owner", "timer")

    def __init__(self, owner, due: int, call: Callable, arguments: tuple, context) -> None:
        self.owner, self.due, self.call, self.arguments, self.context = owner, due, call, arguments, context
        self.timer = False

    def cancel(self) -> None:
        self.call = self.arguments = None

    def cancelled(self) -> bool:
        return self.call is None

    def when(self) -> float:
        return self.due / 1e6


class Kernel:
    """The queue and the clock."""

    def __init__(self, most_steps: int = 5_000_000) -> None:
        self.now = START
        self.heap: list[tuple[int, int, Entry]] = []
        self.ready: deque[Entry] = deque()
        self.order = self.steps = 0
        self.most_steps = most_steps
        self.current: Process | None = None
        self.processes: list[Process] = []

    def soon(self, owner, call: Callable, *arguments, context=None) -> Entry:
        entry = Entry(owner, self.now, call, arguments, context)
        self.ready.append(entry)
        return entry

    def next(self, call: Callable, *arguments) -> None:
        """As the very next step, before all else that is due now."""
        self.ready.appendleft(Entry(None, self.now, call, arguments, None))

    def at(self, due: int, owner, call: Callable, *arguments, context=None) -> Entry:
        entry = Entry(owner, due, call, arguments, context)
        entry.timer = owner is not None
        self.order += 1
        heappush(self.heap, (due if due > self.now else self.now, self.order, entry))
        return entry

    def run(self, until: int) -> None:
        """All that is due by then, and the clock is there afterwards."""
        heap, ready = self.heap, self.ready
        while True:
            if ready:
                entry = ready.popleft()
            elif heap and heap[0][0] <= until:
                due, _, entry = heappop(heap)
                self.now = due
            else:
                break
            if entry.call is not None:
                self.step(entry)
        self.now = max(self.now, until)

    def close(self) -> None:
        """The world is over: nothing of it outlives this."""
        for process in self.processes:
            process.exit = None
            process.end("over")
        self.heap.clear()
        self.ready.clear()

    def step(self, entry: Entry) -> None:
        owner = entry.owner
        if owner is not None:
            if not owner.alive:
                return
            if owner.stalled_until > self.now:
                owner.parked.append(entry)
                return
        self.steps += 1
        if self.steps > self.most_steps:
            raise Runaway(f"more than {self.most_steps} steps, at {self.now - START} us")
        call, arguments = entry.call, entry.arguments
        entry.call = entry.arguments = None  # run once; kept, it would keep all that it names
        if owner is None:
            call(*arguments)
        else:
            self.enter(owner, call, arguments, entry.context)

    def enter(self, owner: "Process", call: Callable, arguments: tuple = (), context=None):
        """Runs something as that process."""
        before, self.current = self.current, owner
        running = events._get_running_loop()
        events._set_running_loop(owner.loop)
        try:
            return call(*arguments) if context is None else context.run(call, *arguments)
        except (KeyboardInterrupt, SystemExit, Runaway):
            raise
        except BaseException as error:  # what a real loop does with it
            name = getattr(call, "__qualname__", type(call).__name__)  # no address: runs are to be the same
            owner.loop.call_exception_handler({"message": name, "exception": error})
        finally:
            self.current = before
            events._set_running_loop(running)


class Process:
    """A process on a machine of the modelled world. It owns its loop and all sockets that it opens."""

    def __init__(self, kernel: Kernel, name: str, address: str, zone: str = "", most_sockets: int = 1 << 20):
        self.kernel, self.name, self.address, self.zone = kernel, name, address, zone
        self.loop = VirtualLoop(kernel, self)
        self.alive, self.stalled_until = True, 0
        self.parked: list[Entry] = []
        self.sockets: dict[int, object] = {}  # by descriptor, those that it holds
        self.most_sockets = most_sockets
        self.peak = 0  # most sockets held at once
        self.number = 0  # its id, where several share a folder
        self.started = kernel.now
        kernel.processes.append(self)
        self.exit: Callable[[str], None] | None = None  # told once, with how it ended
        self.stalls: list[tuple[int, int]] = []

    def run(self, call: Callable, *arguments):
        return self.kernel.enter(self, call, arguments)

    def stall(self, span: int) -> None:
        """As a machine that does something else, or a process that was stopped: what is due waits."""
        until = self.kernel.now + span
        if until > self.stalled_until:
            self.stalled_until = until
            self.stalls.append((self.kernel.now, until))
            self.kernel.at(until, None, self.go_on)

    def go_on(self) -> None:
        if self.alive and self.stalled_until <= self.kernel.now:
            parked, self.parked = self.parked, []
            parked.sort(key=lambda entry: not entry.timer)  # a loop looks at its timers first
            self.kernel.ready.extend(entry for entry in parked if entry.call is not None)

    def signal(self, number: int) -> None:
        if not self.alive:
            return
        if number == signal.SIGKILL:
            return self.end("killed")
        handler = self.loop.handlers.get(number)
        if handler is None:
            return self.end(f"signal {number}")
        self.kernel.soon(self, handler[0], *handler[1])

    def end(self, how: str) -> None:
        """No event of its runs from now on; its sockets are the kernel's to close."""
        if not self.alive:
            return
        self.alive = False
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # it died with its process
        for sock in list(self.sockets.values()):
            sock.process_ended()
        self.sockets.clear()
        self.parked.clear()
        self.loop.handlers.clear()
        self.loop.readers.clear()
        exit, self.exit = self.exit, None
        if exit is not None:
            exit(how)


class VirtualLoop(asyncio.AbstractEventLoop):
    """What asyncio, the network code and the peers ask of a loop, on virtual time."""

    network = None  # set by the world: where sockets and connections come from

    def __init__(self, kernel: Kernel, process: Process) -> None:
        self.kernel, self.process = kernel, process
        self.handlers: dict[int, tuple[Callable, tuple]] = {}
        self.readers: dict[int, tuple[Callable, tuple]] = {}
        self.on_exception: Callable | None = None

    def __repr__(self) -> str:
        return f"<loop of {self.process.name}>"

    # Calls and time.

    def time(self) -> float:
        return self.kernel.now / 1e6

    def call_soon(self, callback, *arguments, context=None) -> Entry:
        return self.kernel.soon(self.process, callback, *arguments, context=context)

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *arguments, context=None) -> Entry:
        due = self.kernel.now + max(0, round(delay * 1e6))
        return self.kernel.at(due, self.process, callback, *arguments, context=context)

    def call_at(self, when, callback, *arguments, context=None) -> Entry:
        return self.kernel.at(round(when * 1e6), self.process, callback, *arguments, context=context)

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return self.process.alive

    def is_closed(self) -> bool:
        return not self.process.alive

    def set_exception_handler(self, handler) -> None:
        self.on_exception = handler

    def default_exception_handler(self, context) -> None:
        raise context.get("exception") or RuntimeError(context.get("message"))

    def call_exception_handler(self, context) -> None:
        if not self.process.alive:
            return
        if self.on_exception is not None:
            self.on_exception(self, context)
        else:
            self.default_exception_handler(context)

    # Signals, and descriptors that are waited for.

    def add_signal_handler(self, sig, callback, *arguments) -> None:
        self.handlers[sig] = callback, arguments

    def remove_signal_handler(self, sig) -> bool:
        return self.handlers.pop(sig, None) is not None

    def add_reader(self, fd, callback, *arguments) -> None:
        self.readers[fd] = callback, arguments
        self.process.sockets[fd].watched()

    def remove_reader(self, fd) -> bool:
        return self.readers.pop(fd, None) is not None

    # Connections.

    async def sock_connect(self, sock, address) -> None:
        future = self.create_future()
        sock.connect(address, future)
        try:
            await future
        except asyncio.CancelledError:
            sock.give_up_connecting()
            raise

    async def create_connection(self, protocol_factory, host=None, port=None, *, sock=None, **_):
        if sock is None:
            sock = self.network.socket(self.process)
            try:
                await self.sock_connect(sock, (host, port))
            except BaseException:
                sock.close()
                raise
        return await self.connect_accepted_socket(protocol_factory, sock)

    async def connect_accepted_socket(self, protocol_factory, sock, **_):
        waiter = self.create_future()
        protocol = protocol_factory()
        transport = self.network.transport(self, sock, protocol, waiter)
        await waiter
        return transport, protocol

    async def create_server(self, protocol_factory, host=None, port=None, *, backlog=128, **_):
        return self.network.serve(self, protocol_factory, (host, port), backlog)
