"""Order among requests of one key: one at a time; after an attempt that may go on, the key rests."""

from heapq import heappop, heappush

from dahliabend.model import Port
from dahliabend.policy.retries import RequestState

REST_TIMER = 2  # the token of the timer at the end of a key's rest


class KeyQueue:
    """Of one key: whose turn it is, until when the key rests (0: not), and who waits, as admitted."""

    def __init__(self) -> None:
        self.current: RequestState | None = None
        self.rests_until, self.waiting = 0, dict[RequestState, None]()


class KeyQueues:
    """The queues of all keys of one balancer. Nothing is kept of a key once its queue and rest are over."""

    def __init__(self, rest_time: int, port: Port) -> None:
        self.rest_time, self.port = rest_time, port
        self.queues: dict[int | bytes, KeyQueue] = {}
        self.rests: list[tuple[int, int | bytes]] = []  # a heap: until when, the key

    def take_over(self, before: "KeyQueues") -> None:  # for decisions that follow in this process
        self.queues, self.rests = before.queues, before.rests
        for until, _ in self.rests:
            self.port.set_timer(until, REST_TIMER)

    def ahead(self, key: int | bytes) -> int:  # turns that come first, a rest among them
        return len(self.queues[key].waiting) + 1 if key in self.queues else 0

    def join(self, request: RequestState) -> bool:  # behind all of its key; is it its turn?
        queue = self.queues.setdefault(request.key, KeyQueue())
        if queue.current or queue.rests_until:
            queue.waiting[request] = None
            return False
        queue.current = request
        return True

    def rest(self, request: RequestState, now: int) -> None:  # the next could overtake its attempt
        self.queues[request.key].rests_until = now + self.rest_time

    def leave(self, request: RequestState, now: int) -> None:  # if it is finished, whether its turn had come
        queue = self.queues.get(request.key) if request.is_finished else None
        if queue and queue.current is request:
            queue.current = None
            self.advance(request.key, queue, now)
        elif queue:
            queue.waiting.pop(request, None)

    def advance(self, key: int | bytes, queue: KeyQueue, now: int) -> None:
        if now < queue.rests_until:
            heappush(self.rests, (queue.rests_until, key))
            self.port.set_timer(queue.rests_until, REST_TIMER)
            return
        queue.rests_until = 0
        while queue.waiting and not queue.current:
            queue.current = request = next(iter(queue.waiting))
            del queue.waiting[request]
            request.balancer.send(request, now)
            queue.current = None if request.is_finished else request  # given up unsent
        if not queue.current:
            del self.queues[key]  # else a key seen once would be kept for ever

    def timer_fired(self, now: int) -> None:
        while self.rests and self.rests[0][0] <= now:
            key = heappop(self.rests)[1]
            self.advance(key, self.queues[key], now)
