"""This balancer among the others: membership wired to the operator's file, the log, and the operators' door.

Imported only where the file has `[members]`: nothing else pays for it.
"""

import os
from collections.abc import Callable
from random import Random

import msgspec

from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.config.platform import parse_address
from dahliabend.discovery.watch import DiscoveryClient, EndpointList
from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL, MS, HealthGossip
from dahliabend.membership.authentication import DatagramAuthenticator, parse_key
from dahliabend.membership.events import Event
from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.membership.view import MembershipView
from dahliabend.model import EndpointState
from dahliabend.server.endpoint_list_file import EndpointListFile
from dahliabend.subsetting.demand import UNKNOWN_DEMAND, DemandEstimator
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

KEEP_BEATS = 30  # periods between two writings of what is kept
DIAL_TIME = 250_000
LAST = 16  # beliefs kept to be shown


class StoredMembership(msgspec.Struct):
    """What a process leaves for the next one in its place."""

    name: str
    place: str
    handed: bool  # the next one goes on as this one; else it only knows whom to ask
    at: int  # Unix microseconds
    life: int
    incarnation: int
    serial: int
    members: list[Update]


class SeedList:
    """Those told of by a list, as a reader of it."""

    def __init__(self, changed: Callable[[], None]) -> None:
        self.changed = changed
        self.places: dict[str, str] = {}

    def endpoints_changed(self, rows: list[tuple], full: bool) -> None:
        if full:
            self.places = {}
        for name, place, state, *_ in rows:
            if state is EndpointState.REMOVED:
                self.places.pop(name, None)
            else:
                self.places[name] = f"{place[0]}:{place[1]}"
        self.changed()

    def endpoint_poll_failed(self) -> None: ...


class ClusterMember:
    def __init__(
        self,
        settings: MembershipSettings,
        folder: str,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        seed: int,
        log: Callable,
    ) -> None:
        self.settings, self.folder, self.log = settings, folder, log
        self.timers, self.descriptors = timers, descriptors
        self.place = settings.advertise or settings.address
        self.name = settings.name or self.place
        self.chance = Random(f"members {self.name} {seed}")
        terms = SwimConfig(
            period=settings.period, dead_retention=settings.forget, partition_ratio=float(settings.cut)
        )
        life = host_info.time_ns() // 1000
        self.stored = self.read_stored()
        if self.stored is not None:  # a clock that was set back must not make it older than it was
            life = max(life, self.stored.life + 1)
        weight = UNKNOWN_DEMAND if settings.demand else settings.weight
        self.failure_detector = MembershipProtocol(
            self.name, life, self.place, terms, self.chance, settings.zone, weight
        )
        self.gossip = HealthGossip(self.name, host_info.time_ns(), self.chance) if settings.signals else None
        self.pools: Callable[[], list[tuple]] = list  # names, and the routers whose decisions are told
        self.believed: list[dict] = []  # the last that were told them
        self.shares = None  # of limits, where a route is shared
        self.probing = None
        if settings.probing:
            from dahliabend.server.shared_health_checks import SharedHealthChecks

            self.probing = SharedHealthChecks(self.name, settings.probing, log)
            shared = self.probing.shared
            self.gossip.leases, self.gossip.on_lease = (
                shared.election.announcements,
                shared.apply_announcement,
            )
        self.shell = UdpTransport(self.failure_detector, self.seal_of(settings), timers, self.heard)
        self.shell.on_user_messages = self.listen if self.gossip is not None else None
        self.beating: list | None = None
        self.demand = DemandEstimator() if settings.demand else None
        self.seed_list = SeedList(self.follow)
        self.lists: list[EndpointListFile | DiscoveryClient] = []
        self.keeping: list | None = None
        self.opened = self.went = False

    def seal_of(self, settings: MembershipSettings) -> DatagramAuthenticator:
        read = host_info.read_file
        return DatagramAuthenticator(
            [parse_key(read(os.path.join(self.folder, name))) for name in settings.key_files]
        )

    async def open(self) -> None:
        """OSError where the address can't be had."""
        if self.stored is not None and self.stored.handed:
            self.failure_detector.restore(clock(), msgspec.structs.asdict(self.stored))
        await self.shell.open(parse_address(self.settings.address), self.seeds())
        self.log(
            "members.open",
            name=self.name,
            address=self.settings.address,
            advertise=self.place,
            life=self.failure_detector.generation,
            resumed=bool(self.stored and self.stored.handed),
        )
        self.opened = True
        self.watch_lists()
        self.store()
        if self.gossip is not None:
            self.signal()

    # Signals.

    def listen(self, said: list[bytes]) -> None:
        for data in said:
            self.gossip.receive(clock(), data)

    def share_limits(self, choices: Callable) -> None:
        """Routes share their limits from now on."""
        if self.shares is None:
            from dahliabend.server.cluster_limits import ClusterLimits

            self.shares = ClusterLimits(self.name, choices, self.log)
            self.gossip.quotas, self.gossip.on_quota = self.shares.reports, self.shares.report_received
        self.shares.update_routes()

    def saw(self, pool: str, upstream: str, outcome) -> None:
        self.gossip.record_outcome(clock(), pool, upstream, outcome)

    def signal(self) -> None:
        """A beat: what others told is believed or not, and what this one saw goes out."""
        now, gossip = clock(), self.gossip
        self.beating = self.timers.schedule(now + GOSSIP_INTERVAL, self.signal)
        view, settled = self.view(), self.settled()
        members = {m.name for m in view.members if m.state != "unreached"}
        for pool, router in self.pools():
            balancer, places = router.balancer, router.table.endpoints
            indices = {places[u.index].name: u.index for u in balancer.ready if not u.ejected}

            def told(name: str, tried: int, bad: int, balancer=balancer, indices=indices) -> None:
                balancer.add_peer_report(indices[name], tried, bad)

            for each in gossip.report_suspected(now, pool, set(indices), members, told):
                told_now = {"pool": pool, "upstream": each.upstream, "at": now, "origins": each.origins}
                self.believed = [*self.believed[1 - LAST :], told_now]
                self.log("believed", pool=pool, upstream=each.upstream, origins=each.origins)
        if self.probing is not None:
            rows = [(m.name, m.zone) for m in settled.members if m.state != "unreached"] if settled else ()
            shared = [
                (pool, router) for pool, router in self.pools() if router.health_check_delegate is not None
            ]
            heard = now >= self.failure_detector.unsettled_until and self.failure_detector.exclusion != "dead"
            self.probing.beat(rows, bool(rows) and heard, shared)
        if self.shares is not None:
            here = {m.name for m in settled.members} if settled else set()
            machine = self.failure_detector
            left = {n for n in machine.departed if machine.members[n].update.status is MemberStatus.LEFT}
            self.shares.tick(here, left, view.possibly_partitioned)
        gossip.tick(now, sorted(members))
        out, gossip.outbox = gossip.outbox, []
        for name, data in out:
            self.failure_detector.send_user_message(name, data)
        self.shell.flush()

    def signals(self) -> dict | None:
        """What this one tells, what others told it, and what was believed of it. Times: milliseconds ago."""
        gossip, now = self.gossip, clock()
        if gossip is None:
            return None

        def shown(rows) -> list[dict]:
            return [
                {"pool": r.pool, "upstream": r.upstream, "tried": r.attempts, "bad": r.failures} for r in rows
            ]

        origins = [
            {
                "name": name,
                "age_ms": (now - held.created_at) // MS,
                "hops": held.report.relays,
                "rows": shown(held.report.counts),
            }
            for name, held in sorted(gossip.report_table.fresh(now).items())
        ]
        believed = [
            {
                "pool": each["pool"],
                "upstream": each["upstream"],
                "origins": each["origins"],
                "age_ms": (now - each["at"]) // MS,
            }
            for each in self.believed
        ]
        return {
            "name": self.name,
            "own": shown(gossip.counts(now)),
            "origins": origins,
            "believed": believed,
            "shares": self.shares.status() if self.shares is not None else [],
            "told": gossip.suspected_count,
            "unread": gossip.undecodable,
            "refused": gossip.report_table.rejected,
        }

    # Seeds.

    def seeds(self) -> list[str]:
        kept = [update.address for update in self.stored.members] if self.stored is not None else []
        return list(dict.fromkeys([*self.settings.seeds, *self.seed_list.places.values(), *kept]))

    def follow(self) -> None:
        self.failure_detector.set_seeds(self.seeds())

    def watch_lists(self) -> None:
        for each in self.lists:
            each.stop()
        self.lists.clear()
        if self.settings.seeds_file is not None:
            made = EndpointListFile(EndpointList(self.seed_list, self.log), self.timers, self.log)
            self.lists.append(made)
            made.watch(os.path.join(self.folder, self.settings.seeds_file))
        if self.settings.seeds_discovery is not None:
            place = parse_address(self.settings.seeds_discovery)
            made = DiscoveryClient(
                place,
                EndpointList(self.seed_list, self.log),
                self.timers,
                self.descriptors,
                DIAL_TIME,
                self.chance.random,
                self.log,
            )
            self.lists.append(made)
            made.open()

    # What stays behind.

    def read_stored(self) -> StoredMembership | None:
        """None where there is none, it is another's, or it can't be read: it starts without."""
        if self.settings.keep is None:
            return None
        path = os.path.join(self.folder, self.settings.keep)
        try:
            made = msgspec.json.decode(host_info.read_file(path), type=StoredMembership)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self.log("handover.unread", why=f"{self.settings.keep}: {error}")
            return None
        if (made.name, made.place) != (self.name, self.place):
            self.log("handover.unread", why=f"{self.settings.keep}: it is {made.name}'s at {made.place}")
            return None
        # Known too long ago, or by a clock that has stepped: whom to ask is all that is taken from it.
        age = host_info.time_ns() // 1000 - made.at
        made.handed = made.handed and 0 <= age < self.settings.period * KEEP_BEATS
        return made

    def store(self, handed: bool = False) -> None:
        if self.settings.keep is None:
            return
        made = StoredMembership(
            self.name, self.place, handed, host_info.time_ns() // 1000, **self.failure_detector.snapshot()
        )
        path = os.path.join(self.folder, self.settings.keep)
        try:
            host_info.runtime_directory(os.path.dirname(path)).write(
                os.path.basename(path), msgspec.json.encode(made)
            )
        except OSError as error:
            self.log("handover.unwritten", why=str(error))
        if not handed:
            self.timers.cancel(self.keeping)
            self.keeping = self.timers.schedule(clock() + KEEP_BEATS * self.settings.period, self.store)

    # Changes.

    def take_over(self, settings: MembershipSettings) -> None:
        """What a reload changes while it runs; the rest waits for a restart."""
        before, self.settings = (
            self.settings,
            msgspec.structs.replace(
                self.settings,
                zone=settings.zone,
                weight=settings.weight,
                seeds=settings.seeds,
                seeds_file=settings.seeds_file,
                seeds_discovery=settings.seeds_discovery,
                key_files=settings.key_files,
            ),
        )
        self.shell.authenticator = self.seal_of(
            settings
        )  # the files may hold other keys under the same names
        weight = settings.weight if self.demand is None else self.failure_detector.self_update.weight
        if settings.zone != before.zone or weight != self.failure_detector.self_update.weight:
            self.failure_detector.update_self(clock(), zone=settings.zone, weight=weight)
        lists = settings.seeds_file, settings.seeds_discovery
        if lists != (before.seeds_file, before.seeds_discovery):
            self.seed_list.places = {}
            self.watch_lists()
        self.follow()

    def asked(self, count: int) -> None:
        """So many transactions came in all, until now."""
        weight = self.demand.update(clock(), count)
        if weight is not None:
            self.failure_detector.update_self(clock(), weight=weight)
            self.log("demand", weight=weight)

    def heard(self, event: Event) -> None:
        self.log(
            "member",
            change=event.kind,
            member=event.name,
            by=event.reported_by,
            incarnation=event.incarnation,
        )

    def leave(self, hand: bool = False) -> None:
        """It leaves, and the others know at once; or, handing over, it falls silent for its successor."""
        if self.went:
            return
        self.went = True
        if hand:
            self.store(handed=True)
            self.shell.close()
        else:
            self.shell.leave()

    def close(self) -> None:
        self.timers.cancel(self.keeping)
        self.timers.cancel(self.beating)
        for each in self.lists:
            each.stop()
        self.shell.close()

    # What is seen.

    def view(self) -> MembershipView:
        return self.failure_detector.view(clock())

    def settled(self) -> MembershipView | None:
        return self.failure_detector.last_stable_view(clock())

    def metrics(self) -> dict:
        view, shell = self.view(), self.shell
        return {
            "version": view.version,
            "mark": view.checksum,
            "members": len(view.members),
            "suspected": sum(member.state == "suspected" for member in view.members),
            "stable": view.stable,
            "cut": view.possibly_partitioned,
            "outcast": view.exclusion,
            "age_ms": view.time_since_contact // 1000,
            "confidence": round(view.confidence, 3),
            "doubt": self.failure_detector.health_score,
            "sent": shell.sent,
            "sent_bytes": shell.sent_bytes,
            "come": shell.received,
            "come_bytes": shell.received_bytes,
            "dropped": dict(self.failure_detector.dropped_datagrams),
        }

    def shown(self) -> dict:
        """All that this instance knows, for the operators' door. Times are milliseconds ago."""
        now, latest, settled = clock(), self.view(), self.settled()
        rows = [
            {
                "name": m.name,
                "address": m.address,
                "zone": m.zone,
                "weight": m.weight,
                "life": m.generation,
                "incarnation": m.incarnation,
                "state": m.state,
                "by": m.reported_by,
                "cannot_reach": m.unreachable_peers,
                "since_ms": (now - m.since) // 1000 if m.since else None,
            }
            for m in latest.members
        ]
        gone = [
            {
                "name": name,
                "address": member.update.address,
                "zone": member.update.zone,
                "state": member.update.status.name.lower(),
                "by": member.update.reported_by,
                "incarnation": member.update.incarnation,
                "since_ms": (now - member.since) // 1000,
            }
            for name in self.failure_detector.departed
            for member in (self.failure_detector.members[name],)
        ]
        return {
            "name": self.name,
            **self.metrics(),
            "here": rows,
            "gone": gone,
            "settled": None
            if settled is None
            else {
                "version": settled.version,
                "mark": settled.checksum,
                "members": [m.name for m in settled.members],
                "age_ms": (now - settled.at) // 1000,
            },
        }
