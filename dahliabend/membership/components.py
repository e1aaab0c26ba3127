"""The components of the protocol, each with its own state, and their wiring."""

from dataclasses import replace
from random import Random

from dahliabend.membership.anti_entropy import AntiEntropy
from dahliabend.membership.conflicts import ConflictReporter
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.events import EventQueue
from dahliabend.membership.failure_detector import FailureDetector
from dahliabend.membership.local_health import LocalHealth
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.receiver import PacketReceiver
from dahliabend.membership.replay_window import ReplayFilter
from dahliabend.membership.schedule import Schedule
from dahliabend.membership.self_updates import Reachability, Refuter, SelfAnnouncer
from dahliabend.membership.suspicion import SuspicionDeadlines
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.update_rules import UpdateRules
from dahliabend.membership.view_builder import ViewBuilder


class ProtocolComponents:
    """The components of one member's protocol.

    Attributes:
        local: The local member.
        events: Events for the owner, which is the code that calls the protocol.
        health: Local health score.
        schedule: Times at which the protocol acts next.
        table: The other members.
        disseminator: Encodes outgoing datagrams and the updates piggybacked on them.
        announcer: Creates new updates about the local member.
        anti_entropy: Exchanges member tables.
        conflicts: Reports names that two processes use.
        reachability: Tracks which members can be reached directly.
        refuter: Handles updates of others about the local member.
        detector: Sends pings and handles their answers.
        suspicions: Deadlines of suspicions.
        receiver: Checks incoming datagrams.
        rules: Decides whether an update about another member overrides the known one.
        views: Builds views for the owner.
    """

    def __init__(
        self, config: SwimConfig, random: Random, local: LocalMember, *, first_probe_number: int
    ) -> None:
        self._config = config
        self._random = random
        self.local = local
        self.events = EventQueue()
        self.health = LocalHealth(config)
        self.schedule = Schedule(config)
        self.table = MemberTable(config)
        self.disseminator = Disseminator(config, local, self.table)
        self.announcer = SelfAnnouncer(local, self.table, self.disseminator)
        self.anti_entropy = AntiEntropy(config, random, local, self.table, self.disseminator)
        self.conflicts = ConflictReporter(config, self.table, self.events)
        self.reachability = Reachability(local, self.table, self.announcer, self.events)
        self.refuter = Refuter(
            local, self.table, self.disseminator, self.anti_entropy, self.health, self.conflicts, self.events
        )
        self.detector = FailureDetector(
            config,
            random,
            local,
            self.table,
            self.health,
            self.schedule,
            self.disseminator,
            first_probe_number,
        )
        self.suspicions = SuspicionDeadlines(config, self.table, self.schedule)
        replay_filter = ReplayFilter()
        self.receiver = PacketReceiver(local, self.table, self.anti_entropy, replay_filter)
        self.rules = UpdateRules(
            self.table, self.suspicions, self.detector.probe_round, self.disseminator, self.announcer,
            self.conflicts, self.events, replay_filter,
        )  # fmt: skip
        self.views = ViewBuilder(config, local, self.table, self.health, self.schedule, self.receiver)

    def duplicate(self) -> "ProtocolComponents":
        """Return an independent copy of all components; both share the random number generator."""
        duplicate = ProtocolComponents(self._config, self._random, replace(self.local), first_probe_number=0)
        duplicate.events.pending = self.events.pending.copy()
        duplicate.health.score = self.health.score
        duplicate.schedule.copy_state(self.schedule)
        duplicate.table.copy_state(self.table)
        duplicate.disseminator.copy_state(self.disseminator)
        duplicate.anti_entropy.seeds = self.anti_entropy.seeds
        duplicate.conflicts.copy_state(self.conflicts)
        duplicate.detector.copy_state(self.detector)
        duplicate.receiver.copy_state(self.receiver)
        duplicate.views.copy_state(self.views)
        return duplicate

    def state_key(self) -> tuple[object, ...]:
        """Return everything that later behaviour depends on, as a hashable value.

        Events and counts of dropped datagrams are not part of it.
        """
        return (
            self.local.update,
            self.local.exclusion,
            self.health.score,
            *self.schedule.state_key(),
            *self.detector.state_key(),
            *self.disseminator.state_key(),
            tuple((name, *member.state_key()) for name, member in self.table.members.items()),
        )
