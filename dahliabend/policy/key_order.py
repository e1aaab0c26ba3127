"""Ordering of requests with the same key: one at a time, with a pause after an attempt that may still run.

Times are in microseconds.
"""

from heapq import heappop, heappush

from dahliabend.model import Outcome, Port, TimerToken
from dahliabend.policy.records import RequestState

_UNCERTAIN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may still run


class KeyQueue:
    """The queue of one key.

    Attributes:
        current: The request whose turn it is.
        paused_until: When the pause of the key ends; 0: the key is not paused.
        waiting: The requests that wait for their turn, in the order of their admission.
    """

    def __init__(self) -> None:
        self.current: RequestState | None = None
        self.paused_until = 0
        self.waiting: dict[RequestState, None] = {}


class KeyQueues:
    """The queues of all keys of one balancer.

    The state of a key is dropped once its queue is empty and its pause is over.
    """

    def __init__(self, pause_time: int, port: Port) -> None:
        self.pause_time = pause_time
        self.port = port
        self.queues: dict[int | bytes, KeyQueue] = {}
        self.pauses: list[tuple[int, int | bytes]] = []  # a heap of (end, key)

    def take_over(self, previous: "KeyQueues") -> None:
        """Continue with the queues of the previous policy, in the same process.

        Otherwise a request could run beside another one of its key that was admitted under the previous
        settings.
        """
        self.queues = previous.queues
        self.pauses = previous.pauses
        for until, _ in self.pauses:
            self.port.set_timer(until, TimerToken.KEY_PAUSE)

    def queue_position(self, key: int | bytes) -> int:
        """Return the position in its key's queue that a request would get now; 0: its turn comes at once.

        The current request or the pause counts as one.
        """
        return len(self.queues[key].waiting) + 1 if key in self.queues else 0

    def join(self, request: RequestState) -> bool:
        """Append a request to the queue of its key, and return whether its turn has come at once."""
        queue = self.queues.setdefault(request.key, KeyQueue())
        if queue.current or queue.paused_until:
            queue.waiting[request] = None
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
        elif queue:
            queue.waiting.pop(request, None)

    def timer_fired(self, now: int) -> None:
        """End the pauses that are over at `now`, and send the next request of each of these keys."""
        while self.pauses and self.pauses[0][0] <= now:
            key = heappop(self.pauses)[1]
            self._advance(key, self.queues[key], now)

    def _advance(self, key: int | bytes, queue: KeyQueue, now: int) -> None:
        if now < queue.paused_until:
            heappush(self.pauses, (queue.paused_until, key))
            self.port.set_timer(queue.paused_until, TimerToken.KEY_PAUSE)
            return
        queue.paused_until = 0
        while queue.waiting and not queue.current:
            request = next(iter(queue.waiting))
            queue.current = request
            del queue.waiting[request]
            request.balancer.send(request, now)
            queue.current = None if request.is_finished else request  # `send` may give it up at once
        if not queue.current:
            del self.queues[key]  # a key is stored only while it is in use
