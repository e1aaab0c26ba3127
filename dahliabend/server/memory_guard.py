"""The memory limit of the process: how much of it peers may use, and what happens close to it."""

import gc

from dahliabend.server.log import MAX_BUFFERED_BYTES, Log
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.memory_budget import MemoryBudget, ReliefRank
from dahliabend.transport.timers import TimerQueue, clock

MEGABYTE = 1 << 20
CHECK_INTERVAL = 20_000  # microseconds between two readings of the resident memory
MARGIN_FRACTION = 1 / 16  # of the limit, for what is on no account
MIN_MARGIN = 9 * MEGABYTE // 4  # bytes
MIN_CAPACITY = MEGABYTE  # bytes for peers, however little the limit leaves
EMERGENCY_FRACTION = 1 / 4  # of the capacity, which is aimed at when the process comes close to its limit
LAST_RESORT_FRACTION = 1 / 2  # of the margin; with less left, responses are cut off though they are read
LOG_DIVISOR = 16  # lines that nobody reads may take this part of the capacity
FULL_SHARE = 1.0


class MemoryGuard:
    """Derives the capacity of the memory budget from the limit, and compares the account with the process.

    The account estimates what objects need. If the process holds more than that, so that it comes close to
    its limit, holders have to give up what they hold although the account is not at its high-water mark.

    Attributes:
        limit: The memory limit in bytes.
        memory: The memory budget.
        baseline: Resident bytes of the process with no peer.
        resident: Resident bytes at the last check.
        share: Part of the limit that this process may use, as others of an upgrade use the rest.
    """

    def __init__(
        self,
        limit: int,
        memory: MemoryBudget,
        descriptors: DescriptorBudget,
        timers: TimerQueue,
        log: Log,
    ) -> None:
        self.limit = limit
        self.memory = memory
        self.descriptors = descriptors
        self.timers = timers
        self.log = log
        self.baseline = 0
        self.resident = 0
        self.share = FULL_SHARE

    @property
    def margin(self) -> int:
        """Bytes of the limit that are on no account."""
        return max(MIN_MARGIN, int(self.limit * MARGIN_FRACTION))

    @property
    def unaccounted(self) -> int:
        """Bytes that the process has come to hold beyond its baseline and that no account has.

        Memory that was given up counts too, as long as the allocator has not returned it to the system.
        """
        return self.resident - self.baseline - self.memory.reserved

    def open(self) -> None:
        """Take what the process holds now for its baseline, and begin to check."""
        self.baseline = host_info.resident_bytes()
        self._apply_capacity()
        self.log(
            "memory.limited",
            limit=self.limit,
            baseline=self.baseline,
            capacity=self.memory.capacity,
            max_connections=self.descriptors.limit,
        )
        if self.baseline:
            self._check()

    def set_share(self, share: float) -> None:
        """Limit this process to a part of the limit, as another process uses the rest."""
        self.share = share
        if self.baseline:
            self._apply_capacity()

    def _apply_capacity(self) -> None:
        capacity = int(self.limit * self.share) - self.baseline - self.margin
        self.memory.set_capacity(max(MIN_CAPACITY, capacity))
        self.descriptors.apply_limit()
        self.log.max_buffered_bytes = min(MAX_BUFFERED_BYTES, self.memory.capacity // LOG_DIVISOR)

    def _check(self) -> None:
        """Read the resident memory; close to the limit, make holders give up most of what they hold."""
        self.timers.schedule(clock() + CHECK_INTERVAL, self._check)
        self.resident = host_info.resident_bytes()
        self.memory.relieve_if_needed()
        excess = self.resident - (self.limit - self.margin)
        if excess <= 0:
            return
        reserved = self.memory.reserved
        unaccounted = self.unaccounted
        if self._relieve(excess):
            gc.collect()
            self.log(
                "memory.relieved",
                resident=self.resident,
                reserved=reserved,
                reserved_now=self.memory.reserved,
                unaccounted=unaccounted,
            )

    def _relieve(self, excess: int) -> bool:
        """Make holders give up what they hold, as the process is `excess` bytes within its margin.

        Responses that are being read are cut off only if the process would soon be killed, which would cut
        off all of them, and only as many as that takes.

        Returns:
            Whether any holder has given up anything.
        """
        now = clock()
        reserved = self.memory.reserved
        has_relieved = self.memory.relieve(int(self.memory.capacity * EMERGENCY_FRACTION), now)
        if excess > self.margin * LAST_RESORT_FRACTION:
            has_relieved |= self.memory.relieve(reserved - excess, now, ReliefRank.READING)
        return has_relieved
