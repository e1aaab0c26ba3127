"""Ordering of requests with the same key: one at a time, with a pause after an attempt that may still run.

Times are in microseconds.
"""

from heapq import heappop, heappush
from typing import NamedTuple, Protocol

from dahliabend.model import Outcome, Port, TimerToken
from dahliabend.policy.records import RequestState

_UNCERTAIN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may still run
QUEUE_CHECK_INTERVAL = 2_000  # until a request that waits for another process looks again


class KeyState(NamedTuple):
    """The state of a key in one process, as other processes see it.

    Attributes:
        busy_until: Until when an attempt may run even if its process is killed, or the key is paused; 0: no
            request of the key is out.
        waiting_since: When the earliest waiting request was admitted; 0: none waits.
    """

    busy_until: int
    waiting_since: int


class ProcessOrder(Protocol):
    """The order of requests over several processes that are one balancer."""

    def publish(self, key: bytes, state: KeyState) -> None:
        """Tell the other processes the state of a key."""

    def try_begin(self, key: bytes, admitted_at: int, now: int, state: KeyState) -> bool:
        """Publish a state with a request out if its turn has come; return whether it has."""


class KeyQueue:
    """The queue of one key.

    Attributes:
        current: The request whose turn it is.
        paused_until: When the pause of the key ends; 0: the key is not paused.
        next_check: When to look again whether another process has come to its end; 0: no need to.
        waiting: The requests that wait for their turn, in the order of their admission, and when that was.
    """

    def __init__(self) -> None:
        self.current: RequestState | None = None
        self.paused_until = 0
        self.next_check = 0
        self.waiting: dict[RequestState, int] = {}


class KeyQueues:
    """The queues of all keys of one balancer.

    The state of a key is dropped once its queue is empty and its pause is over.

    Attributes:
        pauses: A heap of the ends of pauses and of the times of next checks, with their keys.
        processes: The order among this process and others, while there are others; else None.
    """

    def __init__(self, pause_time: int, port: Port) -> None:
        self.pause_time = pause_time
        self.port = port
        self.queues: dict[int | bytes, KeyQueue] = {}
        self.pauses: list[tuple[int, int | bytes]] = []
        self.processes: ProcessOrder | None = None

    def take_over(self, previous: "KeyQueues") -> None:
        """Continue with the queues of the previous policy, in the same process.

        Otherwise a request could run beside another one of its key that was admitted under the previous
        settings.
        """
        self.queues = previous.queues
        self.pauses = previous.pauses
        self.processes = previous.processes
        for until, _ in self.pauses:
            self.port.set_timer(until, TimerToken.KEY_PAUSE)

    def queue_position(self, key: int | bytes) -> int:
        """Return the position in its key's queue that a request would get now; 0: its turn comes at once.

        The current request or the pause counts as one.
        """
        return len(self.queues[key].waiting) + 1 if key in self.queues else 0

    def join(self, request: RequestState, now: int) -> bool:
        """Append a request to the queue of its key, and return whether its turn has come at once."""
        queue = self.queues.setdefault(request.key, KeyQueue())
        if queue.current or queue.paused_until or queue.next_check:
            queue.waiting[request] = now
            self._publish(request.key, queue)
            return False
        if not self._try_begin(request, queue, now, now):
            queue.waiting[request] = now
            self._check_later(request.key, queue, now)
            return False
        queue.current = request
        return True

    def waiting_requests(self) -> list[RequestState]:
        """Return the requests that wait for their turn, by key and in the order of their admission."""
        return [request for queue in self.queues.values() for request in queue.waiting]

    def needs_pause(self, outcome: Outcome) -> bool:
        """Return whether a key is paused after an attempt with this outcome.

        The attempt may still run at the endpoint, where the next request of the key could overtake it.
        """
        return outcome in _UNCERTAIN_OUTCOMES

    def pause(self, request: RequestState, now: int) -> None:
        """Pause the key of a request, from `now` on."""
        self.queues[request.key].paused_until = now + self.pause_time

    def leave(self, request: RequestState, now: int) -> None:
        """Remove a request from its queue if it is finished, whether or not its turn had come."""
        queue = self.queues.get(request.key) if request.is_finished else None
        if queue and queue.current is request:
            queue.current = None
            self._advance(request.key, queue, now)
        elif queue and queue.waiting.pop(request, None) is not None:
            self._publish(request.key, queue)

    def deadline_changed(self, request: RequestState) -> None:
        """Tell the other processes until when the attempt of a request may run."""
        if request.key in self.queues:
            self._publish(request.key, self.queues[request.key])

    def timer_fired(self, now: int) -> None:
        """End the pauses that are over at `now`, and send the next request of each of these keys."""
        while self.pauses and self.pauses[0][0] <= now:
            key = heappop(self.pauses)[1]
            self._advance(key, self.queues[key], now)

    def _advance(self, key: int | bytes, queue: KeyQueue, now: int) -> None:
        """Send the next request of a key, if its turn has come."""
        if now < queue.paused_until:
            heappush(self.pauses, (queue.paused_until, key))
            self.port.set_timer(queue.paused_until, TimerToken.KEY_PAUSE)
            self._publish(key, queue)
            return
        queue.paused_until = 0
        queue.next_check = 0
        while queue.waiting and not queue.current:
            request, admitted_at = next(iter(queue.waiting.items()))
            if not self._try_begin(request, queue, admitted_at, now):
                self._check_later(key, queue, now)
                return
            queue.current = request
            del queue.waiting[request]
            request.balancer.send(request, now)
            queue.current = None if request.is_finished else request  # `send` may give it up at once
        if not queue.current:
            del self.queues[key]  # a key is stored only while it is in use
        self._publish(key, queue)

    # Other processes

    def share(self, processes: ProcessOrder | None) -> None:
        """Keep the order among several processes from now on; None: this process is alone."""
        self.processes = processes
        for key, queue in self.queues.items():
            self._publish(key, queue)

    def _state(self, queue: KeyQueue) -> KeyState:
        """Return the state of a key for other processes."""
        return KeyState(
            self._attempt_end(queue.current) if queue.current else queue.paused_until,
            next(iter(queue.waiting.values()), 0),
        )

    def _attempt_end(self, request: RequestState) -> int:
        """Return from when on the next request may be sent, should the process of this one be killed.

        While its body is being received, no endpoint has begun to work on it.
        """
        return 1 if request.body_pending else request.deadline + self.pause_time

    def _publish(self, key: int | bytes, queue: KeyQueue) -> None:
        """Tell the other processes, if there are any, the state of a key."""
        if self.processes is not None and isinstance(key, bytes):
            self.processes.publish(key, self._state(queue))

    def _try_begin(self, request: RequestState, queue: KeyQueue, admitted_at: int, now: int) -> bool:
        """Return whether the turn of a request has come among the processes; tell them if it has."""
        key = request.key
        if self.processes is None or not isinstance(key, bytes):
            return True
        others_wait_since = next((since for other, since in queue.waiting.items() if other is not request), 0)
        state = KeyState(self._attempt_end(request), others_wait_since)
        return self.processes.try_begin(key, admitted_at, now, state)

    def _check_later(self, key: int | bytes, queue: KeyQueue, now: int) -> None:
        """Look again in a moment, as another process has a request of the key out or one that is earlier."""
        queue.next_check = now + QUEUE_CHECK_INTERVAL
        heappush(self.pauses, (queue.next_check, key))
        self.port.set_timer(queue.next_check, TimerToken.KEY_PAUSE)
        self._publish(key, queue)
