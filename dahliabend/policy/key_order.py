"""Order among transactions of one key: one at a time, as taken; after a hop that may go on, the key rests.
Nothing is kept for a key once its line is empty and its rest over. Part of the decisions, free of I/O."""

from heapq import heappop, heappush

REST = 2  # the token of a waking at the end of a key's rest


class Line:
    """Of one key: whose turn it is, until when it rests (0: not), and who waits, as taken."""

    def __init__(self) -> None:
        self.turn, self.until, self.waiting = None, 0, {}


class Lines:
    """All lines of one balancer; `pause` is the rest in microseconds, `port` is asked for wakings."""

    def __init__(self, pause: int, port) -> None:
        self.pause, self.port = pause, port
        self.lines: dict[int | bytes, Line] = {}
        self.rests: list[tuple[int, int | bytes]] = []  # until when, the key

    def restore(self, before: "Lines") -> None:
        """Goes on with those lines, for decisions that take over in this process; what rests wakes these."""
        self.lines, self.rests = before.lines, before.rests
        for until, _ in self.rests:
            self.port.set_timer(until, REST)

    def ahead(self, key: int | bytes) -> int:  # turns that come first, a rest among them
        return len(self.lines[key].waiting) + 1 if key in self.lines else 0

    def waiting(self) -> list:
        return [request for line in self.lines.values() for request in line.waiting]

    def join(self, request) -> bool:
        """Behind all of its key taken before. Is it its turn?"""
        line = self.lines.setdefault(request.key, Line())
        if line.turn or line.until:
            line.waiting[request] = None
            return False
        line.turn = request
        return True

    def unsure(self, request, now: int) -> None:
        """A hop of the one whose turn it is may go on: sent now, the next could overtake it there."""
        self.lines[request.key].until = now + self.pause

    def leave(self, request, now: int) -> None:
        """It is over, whether its turn had come or not."""
        line = self.lines.get(request.key)
        if line and line.turn is request:
            line.turn = None
            self.advance(request.key, line, now)
        elif line:
            line.waiting.pop(request, None)

    def advance(self, key: int | bytes, line: Line, now: int) -> None:
        if now < line.until:
            heappush(self.rests, (line.until, key))
            return self.port.set_timer(line.until, REST)
        line.until = 0
        while line.waiting and not line.turn:
            line.turn = request = next(iter(line.waiting))
            del line.waiting[request]
            request.home.send(request, now)
            line.turn = None if request.is_finished else request  # given up unsent
        if not line.turn:
            del self.lines[key]  # else a key seen once would be kept for ever

    def timer_fired(self, now: int) -> None:
        while self.rests and self.rests[0][0] <= now:
            key = heappop(self.rests)[1]
            self.advance(key, self.lines[key], now)
