"""Anti-entropy: members exchange their tables now and then, against updates that gossip has lost."""

from collections.abc import Iterable, Sequence
from random import Random

from dahliabend.membership.codec import encode_update
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import MemberStatus, Sync
from dahliabend.membership.sampling import sample_up_to
from dahliabend.membership.swim_config import SwimConfig

MAX_SYNC_DATAGRAMS = 4  # for one request
MAX_SYNC_UPDATES = MAX_SYNC_DATAGRAMS * 48  # that may find room in them
MAX_SYNC_DEPARTED = MAX_SYNC_UPDATES // 8
SUFFICIENT_TABLE_RATIO = 9 / 10  # of the other's members: a joining member with as many knows enough
DEAD_SYNCS_PER_INTERVAL = 6  # syncs with a dead member for one periodic sync


class AntiEntropy:
    """Requests the tables of other members, and sends this member's on request.

    Attributes:
        seeds: Addresses of members that may be there, this member's own left out.
    """

    __slots__ = ("_config", "_disseminator", "_local", "_random", "_table", "seeds")

    def __init__(
        self,
        config: SwimConfig,
        random: Random,
        local: LocalMember,
        table: MemberTable,
        disseminator: Disseminator,
    ) -> None:
        self._config = config
        self._random = random
        self._local = local
        self._table = table
        self._disseminator = disseminator
        self.seeds: list[str] = []

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; this member's own address among them does no harm."""
        self.seeds = [seed for seed in seeds if seed != self._local.update.address]

    def contact_seeds(self) -> None:
        """Ask some seeds for their tables: this member joins."""
        for seed in self._sample(self.seeds, 2 * self._config.indirect_probes):
            self._request(seed)

    def has_sufficient_table(self, member_count: int) -> bool:
        """Tell whether this table is as good as complete beside one of so many members."""
        return self._table.cluster_size >= SUFFICIENT_TABLE_RATIO * member_count

    def sync(self, period_count: int, *, is_settled: bool) -> None:
        """Do what is due in a protocol period.

        Args:
            period_count: Protocol periods until now.
            is_settled: What this member knows is to be trusted; if not, it asks in every period.
        """
        if period_count % self._config.sync_interval == 0:
            self.sync_periodically()
        elif not is_settled:
            self._sync_with_present_member()
        elif self._table.departed and period_count % self._dead_sync_interval() == 0:
            self._sync_with_dead_member()

    def sync_periodically(self) -> None:
        """Sync with a present member, a dead one, and a seed that is not present.

        After a partition each side takes the other for dead. And where all members start at once and the
        first datagrams are lost, separate clusters would stay.
        """
        for name in self._sample(self._table.present, 1):
            self._request(self._table.members[name].address)
        self._sync_with_dead_member()
        if self.seeds:
            # Seeds that left and came back at the same time know only each other.
            known = {member.address for member in self._table.members_named(self._table.present)}
            for seed in self._sample([seed for seed in self.seeds if seed not in known], 1):
                self._request(seed)
        if not self._table.present:
            self.sync_without_members()

    def sync_without_members(self) -> None:
        """Sync with seeds and departed members: nobody is present, and they may take this one for dead."""
        addresses = self.seeds + [member.address for member in self._table.members.values()]
        for address in self._sample(addresses, self._config.indirect_probes):
            self._request(address)

    def query_suspects(self) -> None:
        """Ask some members about those suspected: only this member may have missed a refutation."""
        if not self._table.suspects:
            return
        suspected = [member.encoded_update for member in self._table.suspected_members()]
        for name in self._sample(self._table.present, max(1, self._config.indirect_probes)):
            request = self._sync_message(reply_requested=True)
            updates = [encode_update(self._local.update), *suspected]
            self._disseminator.send(self._table.members[name].address, request, updates)

    def answer(self, address: str, request: Sync, asked: Sequence[str]) -> None:
        """Send the table, in several datagrams to a member that knows few; it asks again for the rest.

        Args:
            address: Host and port of the member that asked.
            request: Its request.
            asked: Names of the members that its datagram was about; they go first.
        """
        reply = self._sync_message(reply_requested=False)
        has_sufficient_table = request.member_count >= SUFFICIENT_TABLE_RATIO * self._table.cluster_size
        if asked and has_sufficient_table:
            self._disseminator.send(address, reply, self._encode_self_and(asked))
            return
        updates = self._encode_table(asked)
        for _ in range(1 if has_sufficient_table else MAX_SYNC_DATAGRAMS):
            if updates:
                carried = self._disseminator.send(address, reply, updates)
                del updates[: max(1, carried)]

    def announce_to_sample(self) -> None:
        """Send this member's own update to some members at once."""
        for name in self._sample(self._table.present, 2 * self._config.indirect_probes):
            self.announce(self._table.members[name].address)

    def announce(self, address: str) -> None:
        """Send this member's own update at once."""
        self.send_updates(address, [encode_update(self._local.update)])

    def send_updates(self, address: str, updates: Sequence[bytes]) -> None:
        """Send these encoded updates and no others."""
        self._disseminator.send(address, self._sync_message(reply_requested=False), updates)

    def _sync_message(self, *, reply_requested: bool) -> Sync:
        return Sync(reply_requested, self._table.cluster_size)

    def _request(self, address: str) -> None:
        self._disseminator.send(address, self._sync_message(reply_requested=True), self._encode_table())

    def _sync_with_present_member(self) -> None:
        names = self._sample(self._table.present, 1)
        if not names:
            self.sync_without_members()
        for name in names:
            self._request(self._table.members[name].address)

    def _sync_with_dead_member(self) -> None:
        departed = self._table.members_named(self._table.departed)
        dead = [member.update.name for member in departed if member.update.status is MemberStatus.DEAD]
        for name in self._sample(dead, 1):
            self._request(self._table.members[name].address)

    def _dead_sync_interval(self) -> int:
        return max(1, self._config.sync_interval // DEAD_SYNCS_PER_INTERVAL)

    def _encode_table(self, first: Sequence[str] = ()) -> list[bytes]:
        """Return this member's update, those asked about, then others in random order."""
        names = self._sample(self._table.present, MAX_SYNC_UPDATES)
        names += self._sample(list(self._table.departed), MAX_SYNC_DEPARTED)
        self._random.shuffle(names)
        others = [member.encoded_update for member in self._table.members_named(names)]
        return [*self._encode_self_and(first), *others]

    def _encode_self_and(self, names: Sequence[str]) -> list[bytes]:
        """Return this member's update, and those about the members of these names that are known."""
        members = self._table.members
        own = encode_update(self._local.update)
        return [own, *(members[name].encoded_update for name in names if name in members)]

    def _sample(self, population: Sequence[str], count: int) -> list[str]:
        return sample_up_to(self._random, population, count)
