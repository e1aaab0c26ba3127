"""Order among requests of one key: one at a time; after an attempt that may go on, the key rests."""

from heapq import heappop, heappush

from dahliabend.model import Outcome, Port, TimerToken
from dahliabend.policy.records import RequestState

_UNCERTAIN_OUTCOMES = (
    Outcome.TIMED_OUT,
    Outcome.RESET,
    Outcome.CANCELLED,
)  # at the endpoint, after such an end


class KeyQueue:
    """Of one key: whose turn it is, until when the key rests (us; 0: not), and who waits, as admitted."""

    def __init__(self) -> None:
        self.current: RequestState | None = None
        self.rests_until = 0
        self.waiting: dict[RequestState, None] = {}


class KeyQueues:
    """The queues of all keys of one balancer. Nothing is kept of a key once its queue and rest are over."""

    def __init__(self, pause_time: int, port: Port) -> None:
        self.pause_time = pause_time  # microseconds
        self.port = port
        self.queues: dict[int | bytes, KeyQueue] = {}
        self.rests: list[tuple[int, int | bytes]] = []  # a heap: until when, the key

    def take_over(self, predecessor: "KeyQueues") -> None:
        """Go on with the queues of the decisions before, in the same process.

        Else a request could run beside another of its key that was admitted under other settings.
        """
        self.queues = predecessor.queues
        self.rests = predecessor.rests
        for until, _ in self.rests:
            self.port.set_timer(until, TimerToken.KEY_REST)

    def ahead(self, key: int | bytes) -> int:
        """Return how many turns of a key come before one that joins now; a rest counts as one."""
        return len(self.queues[key].waiting) + 1 if key in self.queues else 0

    def join(self, request: RequestState) -> bool:
        """Queue a request behind all of its key. Return whether it is its turn at once."""
        queue = self.queues.setdefault(request.key, KeyQueue())
        if queue.current or queue.rests_until:
            queue.waiting[request] = None
            return False
        queue.current = request
        return True

    def waiting_requests(self) -> list[RequestState]:
        """Return the requests that wait for their turn, by key in the order in which they were admitted."""
        return [request for queue in self.queues.values() for request in queue.waiting]

    def needs_rest(self, outcome: Outcome) -> bool:
        """Return whether a key rests after such an end: the next could overtake an attempt that goes on."""
        return outcome in _UNCERTAIN_OUTCOMES

    def rest(self, request: RequestState, now: int) -> None:
        """Let the key of a request rest from a time (us) on."""
        self.queues[request.key].rests_until = now + self.pause_time

    def leave(self, request: RequestState, now: int) -> None:
        """Take a request out if it is finished, whether its turn had come or not."""
        queue = self.queues.get(request.key) if request.is_finished else None
        if queue and queue.current is request:
            queue.current = None
            self._advance(request.key, queue, now)
        elif queue:
            queue.waiting.pop(request, None)

    def timer_fired(self, now: int) -> None:
        """End the rests that are over at a time (us)."""
        while self.rests and self.rests[0][0] <= now:
            key = heappop(self.rests)[1]
            self._advance(key, self.queues[key], now)

    def _advance(self, key: int | bytes, queue: KeyQueue, now: int) -> None:
        if now < queue.rests_until:
            heappush(self.rests, (queue.rests_until, key))
            self.port.set_timer(queue.rests_until, TimerToken.KEY_REST)
            return
        queue.rests_until = 0
        while queue.waiting and not queue.current:
            request = next(iter(queue.waiting))
            queue.current = request
            del queue.waiting[request]
            request.balancer.send(request, now)
            queue.current = None if request.is_finished else request  # given up unsent
        if not queue.current:
            del self.queues[key]  # else a key seen once would be kept for ever
