"""Anti-entropy: members exchange their tables periodically, to recover updates that gossip has lost."""

from collections.abc import Iterable, Sequence
from random import Random

from dahliabend.membership.codec import encode_update
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import MemberStatus, Sync
from dahliabend.membership.sampling import sample_up_to
from dahliabend.membership.swim_config import SwimConfig

MAX_SYNC_DATAGRAMS = 4  # reply to one request
UPDATES_PER_SYNC_DATAGRAM = 48  # upper estimate of the updates that fit into one datagram
MAX_SYNC_UPDATES = MAX_SYNC_DATAGRAMS * UPDATES_PER_SYNC_DATAGRAM
MAX_SYNC_DEPARTED = MAX_SYNC_UPDATES // 8  # updates about departed members among them
# Fraction of the other member's number of members; a table with as many needs no further sync.
SUFFICIENT_TABLE_RATIO = 9 / 10
DEAD_SYNCS_PER_INTERVAL = 6  # syncs with a dead member per periodic sync


class AntiEntropy:
    """Requests the tables of other members, and sends this member's table on request.

    Attributes:
        seeds: Configured addresses at which other members may listen, without this member's own address.
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
        """Replace the seeds; this member's own address is filtered out."""
        self.seeds = [seed for seed in seeds if seed != self._local.update.address]

    def contact_seeds(self) -> None:
        """Join the cluster: request the tables of some randomly chosen seeds."""
        for seed in self._sample(self.seeds, 2 * self._config.indirect_probes):
            self._request(seed)

    def has_sufficient_table(self, member_count: int) -> bool:
        """Return whether this table has most of the members that a table of `member_count` members has."""
        return self._table.cluster_size >= SUFFICIENT_TABLE_RATIO * member_count

    def sync(self, period_count: int, *, is_settled: bool) -> None:
        """Send the sync that is due in this protocol period, if any.

        Args:
            period_count: Number of protocol periods that have begun.
            is_settled: Whether the table is up to date after a start or a pause of this process. While it is
                not, this member requests a table in every period.
        """
        if period_count % self._config.sync_interval == 0:
            self.sync_periodically()
        elif not is_settled:
            self._sync_with_present_member()
        elif self._table.departed and period_count % self._dead_sync_interval() == 0:
            self._sync_with_dead_member()

    def sync_periodically(self) -> None:
        """Sync with a present member, a dead one, and a seed that is not present.

        The dead member is included because after a partition each side has declared the other dead, and only
        a sync between the sides merges them again. The seed is included because members that all start at
        once and lose their first datagrams would otherwise remain separate clusters.
        """
        for name in self._sample(self._table.present, 1):
            self._request(self._table.members[name].address)
        self._sync_with_dead_member()
        if self.seeds:
            # Only seeds that are not present: seeds that left and came back at the same time know only each
            # other.
            present_addresses = {member.address for member in self._table.members_named(self._table.present)}
            for seed in self._sample([seed for seed in self.seeds if seed not in present_addresses], 1):
                self._request(seed)
        if not self._table.present:
            self.sync_with_absent_members()

    def sync_with_absent_members(self) -> None:
        """Sync with seeds and departed members, for use while no other member is present.

        The departed members may have declared this one dead.
        """
        addresses = self.seeds + [member.address for member in self._table.members.values()]
        for address in self._sample(addresses, self._config.indirect_probes):
            self._request(address)

    def query_suspects(self) -> None:
        """Ask some members for their updates about suspected members.

        This member alone may have missed a refutation.
        """
        if not self._table.suspects:
            return
        suspected = [member.encoded_update for member in self._table.suspected_members()]
        for name in self._sample(self._table.present, max(1, self._config.indirect_probes)):
            request = self._sync_message(reply_requested=True)
            updates = [encode_update(self._local.update), *suspected]
            self._disseminator.send(self._table.members[name].address, request, updates)

    def reply(self, address: str, request: Sync, requested_names: Sequence[str]) -> None:
        """Reply to a request for this member's table.

        A requester that knows most members gets one datagram. One that knows few gets up to
        `MAX_SYNC_DATAGRAMS`, and requests the rest again.

        Args:
            address: Host and port of the requester.
            request: The request.
            requested_names: Names of the members that the request's datagram carried updates about; the
                updates about them are sent first.
        """
        reply = self._sync_message(reply_requested=False)
        knows_most = request.member_count >= SUFFICIENT_TABLE_RATIO * self._table.cluster_size
        if requested_names and knows_most:
            self._disseminator.send(address, reply, self._encode_self_and(requested_names))
            return
        updates = self._encode_table(requested_names)
        for _ in range(1 if knows_most else MAX_SYNC_DATAGRAMS):
            if updates:
                carried = self._disseminator.send(address, reply, updates)
                del updates[: max(1, carried)]

    def announce_to_sample(self) -> None:
        """Send this member's own update to some randomly chosen members immediately."""
        for name in self._sample(self._table.present, 2 * self._config.indirect_probes):
            self.announce(self._table.members[name].address)

    def announce(self, address: str) -> None:
        """Send this member's own update to one address immediately."""
        self.send_updates(address, [encode_update(self._local.update)])

    def send_updates(self, address: str, updates: Sequence[bytes]) -> None:
        """Send these encoded updates in a sync message, with no others."""
        self._disseminator.send(address, self._sync_message(reply_requested=False), updates)

    def _sync_message(self, *, reply_requested: bool) -> Sync:
        return Sync(reply_requested, self._table.cluster_size)

    def _request(self, address: str) -> None:
        self._disseminator.send(address, self._sync_message(reply_requested=True), self._encode_table())

    def _sync_with_present_member(self) -> None:
        names = self._sample(self._table.present, 1)
        if not names:
            self.sync_with_absent_members()
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
        """Return encoded updates: this member's, those about the members in `first`, then a random sample."""
        names = self._sample(self._table.present, MAX_SYNC_UPDATES)
        names += self._sample(list(self._table.departed), MAX_SYNC_DEPARTED)
        self._random.shuffle(names)
        others = [member.encoded_update for member in self._table.members_named(names)]
        return [*self._encode_self_and(first), *others]

    def _encode_self_and(self, names: Sequence[str]) -> list[bytes]:
        """Return encoded updates about this member and about those of the named members that are known."""
        members = self._table.members
        local_update = encode_update(self._local.update)
        return [local_update, *(members[name].encoded_update for name in names if name in members)]

    def _sample(self, population: Sequence[str], count: int) -> list[str]:
        return sample_up_to(self._random, population, count)
