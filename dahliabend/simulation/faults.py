"""Plays the faults of a scenario: each at its time, or at its event of the run's own."""

import signal
from collections.abc import Callable

import orjson

from dahliabend.simulation.peers.clients import Ask, Flooding, Rude
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.script import GROUP_OF, MS, Fault

BACK = 200 * MS  # from a kill until the process starts again, where the span says nothing
CROWD = 80  # requests that come at once, times the fault's size
BEHIND = 12  # clients that ask behind an end, times the fault's size
FLOOD, FLOODS = 90, 8  # requests of one that sends them at once, and how many such there are
RUDE = 150  # connections of those that say no request, times the same
OLD_LIST = 500 * MS  # for which a list service that has moved stays at its old place


class Faults:
    """Acts on a world. What a fault began is ended by `over` at the latest."""

    def __init__(self, world) -> None:
        self.world = world
        self.seen: dict[int, int] = {}  # of faults that wait for an event: how many came
        self.undo: dict[int, Callable[[], None]] = {}
        self.calls: dict[str, object] = {}  # the operators' last call to each balancer
        self.ending = False

    def arm(self) -> None:
        world = self.world
        for number, fault in enumerate(world.scenario.faults):
            if fault.at is not None:
                world.kernel.at(world.zero + fault.at + fault.after, None, self.begin, number, fault)
            else:
                self.wait_for(number, fault)

    def wait_for(self, number: int, fault: Fault) -> None:
        def heard(*values) -> None:
            if self.ending or self.seen.get(number, 0) >= fault.nth or not self.fits(fault, values):
                return
            self.seen[number] = self.seen.get(number, 0) + 1
            if self.seen[number] == fault.nth:
                if fault.after:
                    self.world.later(fault.after, self.begin, number, fault, values)
                else:  # never in the middle of what whoever told of the event is doing
                    self.world.kernel.next(self.begin, number, fault, values)

        self.world.witness.on(fault.on, heard)

    def fits(self, fault: Fault, values: tuple) -> bool:
        if self.world.kernel.now < self.world.zero:
            return False
        if fault.on == "told":
            return values[2] != "up"
        if fault.name and fault.on in ("hop.head", "hop.whole", "begun", "made", "answer"):
            request = self.world.rules.requests.get(values[0])
            return request is not None and request.kind.name == fault.name
        return True

    def begin(self, number: int, fault: Fault, values: tuple = ()) -> None:
        if self.ending:
            return
        self.world.witness("fault", fault.what, fault.whom)
        act = getattr(self, fault.what.replace("-", "_"))
        undo = act(fault, values) if GROUP_OF[fault.what] == "hop" else act(fault)
        if undo is not None:
            self.undo[number] = undo
            self.world.later(fault.span, self.end, number)

    def end(self, number: int) -> None:
        undo = self.undo.pop(number, None)
        if undo is not None:
            self.world.witness("fault.over", self.world.scenario.faults[number].what)
            undo()

    def over(self) -> None:
        """The run ends: whatever still goes on is put right, and nothing more begins."""
        self.ending = True
        for number in sorted(self.undo):
            self.end(number)
        for end in list(self.world.network.open.values()):
            if end.held or end.peer.held:
                end.break_off()

    # Upstreams.

    def node(self, fault: Fault):
        return self.world.nodes[fault.whom]

    def switch(self, fault: Fault, name: str, value):
        upstream, before = self.node(fault).upstream, getattr(self.node(fault).upstream, name)
        setattr(upstream, name, value)
        return lambda: setattr(upstream, name, before)

    def hang(self, fault: Fault):
        return self.switch(fault, "hung", True)

    def slow(self, fault: Fault):
        return self.switch(fault, "slower", 1 + 10 * fault.size)

    def fail(self, fault: Fault):
        return self.switch(fault, "failing", fault.size)

    def garble(self, fault: Fault):
        return self.switch(fault, "garbled", fault.size)

    def limit(self, fault: Fault):
        node, few = self.node(fault), 1 + int(4 * fault.size)
        place = node.spec.host, node.spec.port
        self.world.network.limits[place] = few
        return lambda: self.world.network.limits.pop(place, None)

    def reset(self, fault: Fault) -> None:
        upstream = self.node(fault).upstream
        upstream_loop = self.node(fault).process
        upstream_loop.run(upstream.reset_all)

    def crash(self, fault: Fault):
        """It dies, and starts again cold."""
        node = self.node(fault)
        node.kill()
        return lambda: self.bring_up(node)

    def bring_up(self, node) -> None:
        if not node.process.alive:
            node.start(cold=True)
            node.list("up")

    def drain(self, fault: Fault):
        node, world = self.node(fault), self.world
        node.list("draining")
        upstream = node.upstream
        world.later(world.spec.grace, upstream.drain)

        def back() -> None:
            upstream.draining = False
            if node.upstream is upstream and node.process.alive:
                node.list("up")

        world.later(world.spec.grace + 2 * fault.span, lambda: None if self.ending else back())

    def restart(self, fault: Fault):
        """A planned one: it drains, ends, and starts again cold."""
        node, world = self.node(fault), self.world
        node.list("draining")

        def ends() -> None:
            if node.process.alive:
                node.list("removed")
                node.kill()
                world.later(BACK, self.bring_up, node)

        world.later(world.spec.grace + fault.span, ends)

    def flap(self, fault: Fault):
        """The list can't make up its mind."""
        node, world = self.node(fault), self.world
        for turn in range(6):
            state = "up" if turn % 2 else "draining"
            world.later(turn * fault.span // 6, node.list, state)
        return lambda: node.list("up")

    def refuse(self, fault: Fault):
        node = self.node(fault)
        place = node.spec.host, node.spec.port
        self.world.network.refusing.add(place)
        return lambda: self.world.network.refusing.discard(place)

    def mute(self, fault: Fault):
        node = self.node(fault)
        place = node.spec.host, node.spec.port
        self.world.network.mute.add(place)
        return lambda: self.world.network.mute.discard(place)

    def vanish(self, fault: Fault):
        network, host = self.world.network, self.node(fault).spec.host
        network.vanish(host)
        return lambda: network.come_back(host, fault.size > 0.5)

    def twice(self, fault: Fault):
        return self.switch(fault, "twice", fault.size)

    def slow_dial(self, fault: Fault):
        """A third of the new connections to upstreams, as in `network`, come up late, by 1.5 s at most."""
        late = self.world.network.late
        for node in self.world.nodes:
            late[(node.spec.host, node.spec.port)] = int(1_500 * MS * fault.size)
        return late.clear

    def withdraw(self, fault: Fault) -> None:
        """It drains, and goes on answering to the end of the run."""
        self.node(fault).list("draining")

    # The network.

    def cut_zone(self, fault: Fault):
        network, zone = self.world.network, self.world.zone(fault.whom)
        network.cut_zone(zone)
        return lambda: network.join_zone(zone, fault.size > 0.5)

    def connection(self, fault: Fault, values: tuple):
        """Of the hop that the event tells of; none for events that name no connection."""
        request = self.world.rules.requests.get(values[0])
        hop = request.hops[-1] if request is not None and request.hops else None
        return self.world.rules.connections.get(hop.connection) if hop is not None else None

    def reset_hop(self, fault: Fault, values: tuple) -> None:
        end = self.connection(fault, values)
        if end is not None:
            end.break_off()

    def lose_hop(self, fault: Fault, values: tuple) -> None:
        end = self.connection(fault, values)
        if end is not None:
            end.lose()

    # Balancers.

    def balancer(self, fault: Fault):
        return self.world.balancers[fault.whom]

    def kill(self, fault: Fault):
        balancer = self.balancer(fault)
        if balancer.alive:
            balancer.kill()
            return lambda: None if balancer.alive else balancer.start()

    def term(self, fault: Fault):
        """A planned restart."""
        balancer, process = self.balancer(fault), self.balancer(fault).process
        if self.world.spec.shared:  # there the successor comes first
            return self.upgrade(fault)
        if not process.alive:
            return

        def ended(how: str) -> None:
            self.world.witness("ended", process.name, how)
            self.world.rules.forget_bans(balancer.name)
            self.world.later(max(BACK, fault.span), lambda: None if balancer.alive else balancer.start())

        process.exit = ended
        balancer.terminate(process)

    def stall(self, fault: Fault) -> None:
        process = self.balancer(fault).process
        if process.alive:
            self.world.witness("stalled", process.name, fault.span)
            process.stall(fault.span)

    def reload(self, fault: Fault) -> None:
        """Other settings: fewer hops, another goal, one class more."""
        balancer = self.balancer(fault)
        settings = orjson.loads(orjson.dumps(balancer.settings))
        settings["caps"]["most-hops"] = 2 + int(4 * fault.size)
        settings["profiles"].append({**settings["profiles"][0], "name": "late"})
        self.take_over(balancer, settings)

    def drop_class(self, fault: Fault) -> None:
        """`mark` goes, with its requests open."""
        balancer = self.balancer(fault)
        settings = orjson.loads(orjson.dumps(balancer.settings))
        settings["profiles"] = [p for p in settings["profiles"] if p["name"] != "mark"]
        self.take_over(balancer, settings)

    def take_over(self, balancer, settings: dict) -> None:
        balancer.settings = settings
        balancer.write()
        balancer.process.signal(signal.SIGHUP)

    def broken_file(self, fault: Fault) -> None:
        """To be turned down whole."""
        balancer = self.balancer(fault)
        whole = orjson.dumps(balancer.config())
        settings = orjson.loads(whole)
        if fault.size < 0.4:
            text = whole[: len(whole) // 2]
        elif fault.size < 0.7:
            del settings["settings"]["contract"]
            text = orjson.dumps(settings)
        else:
            settings["settings"]["profiles"][0]["hard-limit"] = -1
            text = orjson.dumps(settings)
        balancer.write(text)
        balancer.process.signal(signal.SIGHUP)

    def upgrade(self, fault: Fault) -> None:
        """One more process beside it; once that one is ready, this one is told to end."""
        balancer, world = self.balancer(fault), self.world
        older = balancer.process
        if not older.alive or not balancer.world.spec.shared:
            return
        balancer.start()
        newer = balancer.process

        def look() -> None:
            if not newer.alive:
                return
            world.start(world.front_process, ask())

        async def ask() -> None:
            status, _ = await call(world.front_process.loop, balancer.admin, "GET", "/api/ready")
            if status == 200 and older.alive:
                balancer.terminate(older)
            elif status != 200:
                world.later(100 * MS, look)

        world.later(100 * MS, look)

    # Discovery.

    def agent(self, fault: Fault):
        return self.world.balancers[fault.whom].agent

    def late(self, fault: Fault):
        agent = self.agent(fault)
        agent.late = int(400 * MS * fault.size)

        def on_time() -> None:
            agent.late = 0

        return on_time

    def silent(self, fault: Fault):
        agent = self.agent(fault)
        agent.silent = True
        process = self.world.balancers[fault.whom].agent_process
        return lambda: process.run(agent.speak)

    def away(self, fault: Fault):
        """Silent for long, so that all that is told meanwhile comes late."""
        return self.silent(fault)

    def end_watch(self, fault: Fault) -> None:
        """Twice in a row where the fault is large: the second as soon as the first is open again."""
        balancer = self.world.balancers[fault.whom]
        balancer.agent_process.run(balancer.agent.end_watches)
        if fault.size > 0.4:
            for wait in (60, 130, 300):
                self.world.later(wait * MS, balancer.agent_process.run, balancer.agent.end_watches)

    def deaf(self, fault: Fault) -> None:
        """The watches that are open say nothing any more; new ones are served."""
        for watch in list(self.agent(fault).watches):
            watch.deaf = True
            watch.transport.end.lose()

    def whole(self, fault: Fault) -> None:
        """From now on a watch begins with the whole list, without what drains, and ends instead of saying
        that one does."""
        balancer = self.world.balancers[fault.whom]
        balancer.agent.whole = True
        balancer.agent_process.run(balancer.agent.end_watches)

    def anew(self, fault: Fault) -> None:
        """Its count begins anew; asked for what came after an older one's, it says that nothing did."""
        balancer = self.world.balancers[fault.whom]
        balancer.agent_process.run(balancer.agent.begin_anew)

    def wrong(self, fault: Fault) -> None:
        balancer = self.world.balancers[fault.whom]
        balancer.agent_process.run(balancer.agent.mislead, int(fault.size * 100))

    def move(self, fault: Fault) -> None:
        """Discovery goes to another place; a new file says where."""
        balancer, world = self.world.balancers[fault.whom], self.world
        old, balancer.port = list(balancer.agent.servers), balancer.port + 1
        world.start(balancer.agent_process, balancer.agent.open(balancer.address, balancer.port))
        balancer.write()
        if balancer.alive:
            balancer.process.signal(signal.SIGHUP)
        for server in old:
            world.later(OLD_LIST, server.close)

    # Operators.

    def say(self, balancer, path: str, target: str = "") -> None:
        world = self.world
        process, admin = balancer.process, balancer.admin
        before = self.calls.get(balancer.name)

        async def ask() -> None:
            if before is not None:  # operators wait for an answer before they call again
                await before
            status, _ = await call(world.front_process.loop, admin, "PUT", f"/api/{path}", target)
            world.witness("said", balancer.name, path, status)
            if status == 200 and process.alive:
                world.witness("yes", balancer.name, path, target)

        self.calls[balancer.name] = world.start(world.front_process, ask())

    def exclude(self, fault: Fault):
        balancer = self.balancer(fault)
        target = self.world.nodes[int(fault.size * 97) % self.world.spec.upstreams].spec.name
        self.say(balancer, "exclude", target)
        return lambda: self.say(balancer, "include", target)

    def evacuate(self, fault: Fault):
        balancer = self.balancer(fault)
        self.say(balancer, "evacuate")
        return lambda: self.say(balancer, "rejoin")

    def half_call(self, fault: Fault):
        admin = self.balancer(fault).admin
        return self.visit(self.world.front_process, 1 + int(20 * fault.size), lambda: admin)

    def visit(self, process, count: int, place: Callable[[], tuple[str, int] | None]):
        """Connections that say no request and stay, until what this returns is called."""
        world, opened = self.world, []

        async def come() -> None:
            for _ in range(count):
                where = place()
                if where is None:
                    return
                try:
                    opened.append(await process.loop.create_connection(lambda: Rude(world.chance), *where))
                except OSError:
                    return

        world.start(process, come())
        return lambda: process.run(lambda: [transport.abort() for transport, _ in opened])

    # Clients.

    def crowd(self, fault: Fault) -> None:
        world = self.world
        chance = world.chance_of("crowd")
        for _ in range(int(CROWD * fault.size)):
            ask: Ask = world.draw(chance, world.load)
            world.kernel.at(
                world.kernel.now + int(100 * MS * chance.random()), world.client, world.clients.ask, ask
            )

    def flood(self, fault: Fault) -> None:
        """Some that send many requests at once, more than is read ahead, and go."""
        world = self.world
        chance = world.chance_of("flood")
        for _ in range(1 + int(FLOODS * fault.size)):
            traces = [world.clients.name() for _ in range(FLOOD)]
            made = Flooding(world.client.loop, world.witness, traces, world.spec.limit, chance)
            place = world.front.next()
            if place is not None:
                world.start(world.client, made.come(place))

    def behind(self, fault: Fault) -> None:
        """Some whose connections rest, and who ask once more as soon as the balancer ends its sending."""
        world = self.world
        chance = world.chance_of("behind")
        for _ in range(1 + int(BEHIND * fault.size)):
            ask, more = world.draw(chance, world.load), world.draw(chance, world.load)
            ask.leaves_after = ask.trickle = more.trickle = 0
            place = world.front.next()
            if place is not None:
                world.start(world.client, world.clients.come_behind(ask, more, place))

    def leave(self, fault: Fault) -> None:
        """All who wait go at once."""
        clients = self.world.clients
        self.world.client.run(lambda: [c.leave() for c in sorted(clients.waiting, key=lambda c: c.number)])

    def rude(self, fault: Fault):
        return self.visit(self.world.client, 1 + int(RUDE * fault.size), self.world.front.next)
