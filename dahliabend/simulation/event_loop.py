"""Virtual time: the scheduler, the simulated processes, and the event loop of each process.

Calls that are due at the same microsecond run in the order in which they were scheduled, so the order of all
events is a function of the seed. The calls of a terminated process never run; the calls of a stalled process
run when it resumes.
"""

import asyncio
import signal
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from heapq import heappop, heappush
from typing import Any, NoReturn

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.loop_sockets import LoopNetwork, LoopServer, LoopSocket
from dahliabend.simulation.scheduled_call import MICROSECONDS_PER_SECOND, Call, ScheduledCall

CLOCK_START = 1_000_000_000  # microseconds: the virtual clock's value when a run starts
UNIX_TIME_AT_ZERO = 1_700_000_000_000_000  # microseconds of Unix time when the virtual clock is 0
MAX_STEPS = 5_000_000
DEFAULT_MAX_SOCKETS = 1 << 20
DEFAULT_BACKLOG = 128

ExceptionHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object]


class StepLimitError(RuntimeError):
    """A run exceeded its maximum number of steps.

    The usual cause is an endless loop, or calls that reschedule themselves without time passing.
    """


class Scheduler:
    """The virtual clock and the queue of scheduled calls. All times are in microseconds."""

    def __init__(self, max_steps: int = MAX_STEPS) -> None:
        self.now = CLOCK_START
        self.timers: list[tuple[int, int, ScheduledCall[Process]]] = []
        self.ready: deque[ScheduledCall[Process]] = deque()
        self.sequence = 0
        self.steps = 0
        self.max_steps = max_steps
        self.current_process: Process | None = None
        self.processes: list[Process] = []

    def call_soon(
        self, owner: "Process | None", call: Call, *arguments: object, context: Context | None = None
    ) -> ScheduledCall["Process"]:
        """Schedule a call for the current time, after all calls that are already ready."""
        scheduled = ScheduledCall(owner, self.now, call, arguments, context)
        self.ready.append(scheduled)
        return scheduled

    def call_next(self, call: Call, *arguments: object) -> None:
        """Schedule a call as the next step, before all other calls that are due now."""
        self.ready.appendleft(ScheduledCall(None, self.now, call, arguments, None))

    def call_at(
        self,
        due: int,
        owner: "Process | None",
        call: Call,
        *arguments: object,
        context: Context | None = None,
    ) -> ScheduledCall["Process"]:
        """Schedule a call at a time of the virtual clock; a time in the past counts as now."""
        scheduled = ScheduledCall(owner, due, call, arguments, context)
        scheduled.is_timer = owner is not None
        self.sequence += 1
        heappush(self.timers, (due if due > self.now else self.now, self.sequence, scheduled))
        return scheduled

    def run_until(self, until: int) -> None:
        """Run all calls that are due up to this time, then set the clock to it."""
        timers = self.timers
        ready = self.ready
        while True:
            if ready:
                scheduled = ready.popleft()
            elif timers and timers[0][0] <= until:
                due, _, scheduled = heappop(timers)
                self.now = due
            else:
                break
            if scheduled.callback is not None:
                self._run(scheduled)
        self.now = max(self.now, until)

    def close(self) -> None:
        """Terminate all processes and drop all scheduled calls."""
        for process in self.processes:
            process.on_exit = None
            process.terminate("over")
        self.timers.clear()
        self.ready.clear()

    def _run(self, scheduled: ScheduledCall["Process"]) -> None:
        owner = scheduled.owner
        if owner is not None:
            if not owner.is_alive:
                return
            if owner.stalled_until > self.now:
                owner.deferred.append(scheduled)
                return
        self.steps += 1
        if self.steps > self.max_steps:
            raise StepLimitError(f"more than {self.max_steps} steps, at {self.now - CLOCK_START} us")
        call = scheduled.callback
        arguments = scheduled.arguments
        scheduled.cancel()  # a handle that is kept longer must not keep the callback's objects alive
        if call is None or arguments is None:
            return
        if owner is None:
            call(*arguments)
        else:
            self.run_as(owner, call, arguments, scheduled.context)

    def run_as(
        self, owner: "Process", call: Call, arguments: tuple[Any, ...] = (), context: Context | None = None
    ) -> Any:  # noqa: ANN401 -- the type depends on the call
        """Run a call with the owner's event loop as the running loop; that loop handles its exceptions."""
        previous = self.current_process
        self.current_process = owner
        running_loop = events._get_running_loop()
        events._set_running_loop(owner.loop)
        try:
            return call(*arguments) if context is None else context.run(call, *arguments)
        except (KeyboardInterrupt, SystemExit, StepLimitError):
            raise
        except BaseException as error:  # passed to the exception handler, as a real event loop does
            # Not repr(), whose memory address would differ between two runs of a seed.
            name = getattr(call, "__qualname__", type(call).__name__)
            owner.loop.call_exception_handler({"message": name, "exception": error})
        finally:
            self.current_process = previous
            events._set_running_loop(running_loop)


class Process:
    """A process on a simulated host. It owns its event loop and all sockets that it opens."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        address: str,
        zone: str = "",
        max_sockets: int = DEFAULT_MAX_SOCKETS,
    ) -> None:
        self.scheduler = scheduler
        self.name = name
        self.address = address
        self.zone = zone
        self.loop = VirtualLoop(scheduler, self)  # type: ignore[abstract]  # implements only the methods in use
        self.is_alive = True
        self.stalled_until = 0
        self.deferred: list[ScheduledCall[Process]] = []  # became due while the process was stalled
        self.sockets: dict[int, LoopSocket] = {}  # by descriptor
        self.max_sockets = max_sockets
        self.peak_sockets = 0
        self.process_id = 0  # set only for processes that share a runtime directory
        self.on_exit: Callable[[str], None] | None = None  # called once, with the reason of the exit
        scheduler.processes.append(self)

    def run(self, call: Call, *arguments: object) -> Any:  # noqa: ANN401 -- the type depends on the call
        """Run a call in this process immediately."""
        return self.scheduler.run_as(self, call, arguments)

    def stall(self, duration: int) -> None:
        """Stop the process for some microseconds; calls that become due meanwhile run when it resumes."""
        until = self.scheduler.now + duration
        if until > self.stalled_until:
            self.stalled_until = until
            self.scheduler.call_at(until, None, self._resume)

    def _resume(self) -> None:
        if self.is_alive and self.stalled_until <= self.scheduler.now:
            deferred = self.deferred
            self.deferred = []
            deferred.sort(key=lambda scheduled: not scheduled.is_timer)  # an event loop runs its timers first
            self.scheduler.ready.extend(call for call in deferred if call.callback is not None)

    def signal(self, signal_number: int) -> None:
        """Send the process a signal; without a handler for it, the process terminates."""
        if not self.is_alive:
            return
        handler = self.loop.signal_handlers.get(signal_number)
        if signal_number == signal.SIGKILL:
            self.terminate("killed")
        elif handler is None:
            self.terminate(f"signal {signal_number}")
        else:
            callback, arguments = handler
            self.scheduler.call_soon(self, callback, *arguments)

    def terminate(self, reason: str) -> None:
        """Terminate the process at once: its pending calls never run, and the system closes its sockets."""
        if not self.is_alive:
            return
        self.is_alive = False
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # tasks of a terminated process stay pending
        for sock in list(self.sockets.values()):
            sock.abort_on_process_exit()
        self.sockets.clear()
        self.deferred.clear()
        self.loop.signal_handlers.clear()
        self.loop.readers.clear()
        on_exit = self.on_exit
        self.on_exit = None
        if on_exit is not None:
            on_exit(reason)


class VirtualLoop(asyncio.AbstractEventLoop):
    """An event loop on virtual time with the methods that asyncio, the balancer and the peers use."""

    network: LoopNetwork[Process]  # creates the loop's sockets; set by the code that builds the run

    def __init__(self, scheduler: Scheduler, process: Process) -> None:
        self.scheduler = scheduler
        self.process = process
        self.signal_handlers: dict[int, tuple[Call, tuple[Any, ...]]] = {}
        self.readers: dict[int, tuple[Call, tuple[Any, ...]]] = {}
        self.exception_handler: ExceptionHandler | None = None

    def __repr__(self) -> str:
        return f"<loop of {self.process.name}>"

    # Scheduling and time

    def time(self) -> float:
        """Return the time of the virtual clock, in seconds."""
        return self.scheduler.now / MICROSECONDS_PER_SECOND

    def call_soon(  # type: ignore[override]  # returns a ScheduledCall
        self, callback: Call, *arguments: object, context: Context | None = None
    ) -> ScheduledCall["Process"]:
        """Implement `asyncio.AbstractEventLoop.call_soon`."""
        return self.scheduler.call_soon(self.process, callback, *arguments, context=context)

    call_soon_threadsafe = call_soon  # type: ignore[assignment]  # a simulation runs in one thread

    def call_later(  # type: ignore[override]  # returns a ScheduledCall
        self, delay: float, callback: Call, *arguments: object, context: Context | None = None
    ) -> ScheduledCall["Process"]:
        """Implement `asyncio.AbstractEventLoop.call_later`."""
        due = self.scheduler.now + max(0, round(delay * MICROSECONDS_PER_SECOND))
        return self.scheduler.call_at(due, self.process, callback, *arguments, context=context)

    def call_at(  # type: ignore[override]  # returns a ScheduledCall
        self, when: float, callback: Call, *arguments: object, context: Context | None = None
    ) -> ScheduledCall["Process"]:
        """Implement `asyncio.AbstractEventLoop.call_at`."""
        due = round(when * MICROSECONDS_PER_SECOND)
        return self.scheduler.call_at(due, self.process, callback, *arguments, context=context)

    def create_future(self) -> asyncio.Future[Any]:
        """Implement `asyncio.AbstractEventLoop.create_future`."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]  # accepts coroutines only
        self, coro: Coroutine[Any, Any, Any], *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task[Any]:
        """Implement `asyncio.AbstractEventLoop.create_task`."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Return False: debug mode is not supported."""
        return False

    def is_running(self) -> bool:
        """Return whether the process of the loop is alive."""
        return self.process.is_alive

    def is_closed(self) -> bool:
        """Return whether the process of the loop has terminated."""
        return not self.process.is_alive

    def set_exception_handler(self, handler: ExceptionHandler | None) -> None:
        """Implement `asyncio.AbstractEventLoop.set_exception_handler`."""
        self.exception_handler = handler

    def default_exception_handler(self, context: dict[str, Any]) -> NoReturn:
        """Raise the exception, so that no error of a simulation goes unnoticed."""
        raise context.get("exception") or RuntimeError(context.get("message"))

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Implement `asyncio.AbstractEventLoop.call_exception_handler`."""
        if not self.process.is_alive:
            return
        if self.exception_handler is not None:
            self.exception_handler(self, context)
        else:
            self.default_exception_handler(context)

    # Signals and readers

    def add_signal_handler(self, sig: int, callback: Call, *arguments: object) -> None:
        """Implement `asyncio.AbstractEventLoop.add_signal_handler`."""
        self.signal_handlers[sig] = callback, arguments

    def remove_signal_handler(self, sig: int) -> bool:
        """Implement `asyncio.AbstractEventLoop.remove_signal_handler`."""
        return self.signal_handlers.pop(sig, None) is not None

    def add_reader(self, fd: int, callback: Call, *arguments: object) -> None:  # type: ignore[override]  # accepts descriptors only
        """Implement `asyncio.AbstractEventLoop.add_reader`."""
        self.readers[fd] = callback, arguments
        self.process.sockets[fd].reader_added()

    def remove_reader(self, fd: int) -> bool:  # type: ignore[override]  # accepts descriptors only
        """Implement `asyncio.AbstractEventLoop.remove_reader`."""
        return self.readers.pop(fd, None) is not None

    # Connections

    async def sock_connect(self, sock: LoopSocket, address: Address) -> None:  # type: ignore[override]  # simulated sockets
        """Implement `asyncio.AbstractEventLoop.sock_connect`."""
        future = self.create_future()
        sock.connect(address, future)
        try:
            await future
        except asyncio.CancelledError:
            sock.cancel_connect()
            raise

    async def create_connection(  # type: ignore[override]  # simulated sockets
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str = "",
        port: int = 0,
        *,
        sock: LoopSocket | None = None,
        **_options: object,
    ) -> tuple[asyncio.Transport, Any]:
        """Implement `asyncio.AbstractEventLoop.create_connection`."""
        if sock is None:
            sock = self.network.socket(self.process)
            try:
                await self.sock_connect(sock, (host, port))
            except BaseException:
                sock.close()
                raise
        return await self.connect_accepted_socket(protocol_factory, sock)

    async def connect_accepted_socket(  # type: ignore[override]  # simulated sockets
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], sock: LoopSocket, **_options: object
    ) -> tuple[asyncio.Transport, Any]:
        """Implement `asyncio.AbstractEventLoop.connect_accepted_socket`."""
        waiter = self.create_future()
        protocol = protocol_factory()
        transport = sock.create_transport(self, protocol, waiter)
        await waiter
        return transport, protocol

    async def create_server(  # type: ignore[override]  # simulated sockets
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str = "",
        port: int = 0,
        *,
        backlog: int = DEFAULT_BACKLOG,
        **_options: object,
    ) -> LoopServer:
        """Implement `asyncio.AbstractEventLoop.create_server`."""
        sock = self.network.socket(self.process)
        sock.bind((host or self.process.address, port))
        sock.listen(backlog)
        return sock.create_server(self, protocol_factory)
