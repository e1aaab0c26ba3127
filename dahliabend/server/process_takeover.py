"""Hot restart: takeover from a predecessor on the same listening socket.

Both processes run side by side until the predecessor exits.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from dahliabend.proxy.router import Router
from dahliabend.proxy.shared_key_order import SharedKeyOrder
from dahliabend.server.hot_restart import EXECUTED_TABLE, KEY_ORDER_TABLE, HotRestart, ProcessKey
from dahliabend.server.log import EventLog
from dahliabend.server.memory_guard import MemoryGuard
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

CHECK_INTERVAL = 100_000  # microseconds between two checks for other processes
STATE_TIMEOUT = 1_000_000  # microseconds to wait for a predecessor to write its state
STATE_CHECKS_PER_INTERVAL = 4  # checks for the state in each CHECK_INTERVAL of that wait
MICROSECONDS_PER_SECOND = 1e6
FULL_SHARE = 1.0
SHARE_BESIDE_ANOTHER = 1 / 2  # of descriptors and memory: system limits count both processes as one balancer


class ProcessTakeover:
    """Coordination of this process with the others on the same listening socket.

    Attributes:
        directory: The directory that the processes share.
    """

    def __init__(
        self,
        directory: HotRestart,
        router: Router,
        descriptors: DescriptorBudget,
        memory_guard: MemoryGuard,
        timers: TimerQueue,
        log: EventLog,
    ) -> None:
        self.directory = directory
        self.router = router
        self.descriptors = descriptors
        self.memory_guard = memory_guard
        self.timers = timers
        self.log = log
        self._predecessors: list[ProcessKey] = []
        self._descriptors_shared = False
        self._key_order: SharedKeyOrder | None = None
        self._has_read_tables = False

    async def take_over(
        self, capture_state: Callable[[], dict[str, Any]], restore_state: Callable[[dict[str, Any]], None]
    ) -> bool:
        """Restore the state of a predecessor, if one is running, and start checking for other processes.

        Args:
            capture_state: Returns the state for a later successor.
            restore_state: Restores that state.

        Returns:
            False if the directory can't be used. The process then serves without it, and a hot restart loses
            the state.
        """
        try:
            self.directory.open()
            self.router.executed.share(self.directory.create_table(EXECUTED_TABLE))
            self._key_order = SharedKeyOrder(
                self.directory.create_table(KEY_ORDER_TABLE), self.directory.open_key_order_lock()
            )
        except OSError as error:
            self.log("hot_restart.unavailable", reason=str(error))
            return False
        state = await self._wait_for_state()
        if self._predecessors and state:
            try:
                restore_state(state)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                self.log("hot_restart.read_failed", reason=repr(error))
        self._check_periodically(capture_state)
        return True

    def set_excluded(self, name: str, excluded: bool) -> None:
        """Exclude an upstream in all processes that share the directory, or include it again."""
        self.directory.set_excluded(name, excluded)

    async def _wait_for_state(self) -> dict[str, Any] | None:
        self._check_processes()
        deadline = clock() + STATE_TIMEOUT
        state: dict[str, Any] | None = None
        while self._predecessors and clock() < deadline:
            state = self.directory.read_state()
            if state:
                break
            await asyncio.sleep(CHECK_INTERVAL / MICROSECONDS_PER_SECOND / STATE_CHECKS_PER_INTERVAL)
            self._check_processes()
        return state

    def _check_periodically(self, capture_state: Callable[[], dict[str, Any]]) -> None:
        self.timers.schedule(clock() + CHECK_INTERVAL, self._check_periodically, capture_state)
        successors = self._check_processes()
        if successors:
            self.directory.write_state_for(successors[-1], capture_state)

    def _check_processes(self) -> list[ProcessKey]:
        """Adjust the descriptor share and attempt counts to the live processes, and apply their exclusions.

        Returns:
            The keys of the live processes newer than this one, oldest first.
        """
        live = self.directory.live_processes()
        own_key = self.directory.process_key
        self._predecessors = [key for key in live if key < own_key]
        self._share_descriptors(bool(live))
        self._share_tables({f"{key.start_order}-{key.process_id}" for key in live})
        if live:
            self.directory.publish_in_flight(self.router.attempts_in_flight())
        self.router.balancer.concurrency.in_flight_in_other_processes = sum(live.values())
        self._apply_exclusions()
        return [key for key in live if key > own_key]

    def _share_descriptors(self, shared: bool) -> None:
        if shared == self._descriptors_shared:
            return
        self._descriptors_shared = shared
        share = SHARE_BESIDE_ANOTHER if shared else FULL_SHARE
        self.descriptors.set_share(share)
        self.memory_guard.set_share(share)

    def _share_tables(self, live: set[str]) -> None:
        """Look at the tables of other processes, for some time after their end as well."""
        is_first = not self._has_read_tables
        self._has_read_tables = True
        self._share_executed_requests(live, is_first=is_first)
        if self._key_order is not None:
            self._share_key_order(self._key_order, live, is_first=is_first)

    def _share_executed_requests(self, live: set[str], *, is_first: bool) -> None:
        """Look at the requests that other processes may have run."""
        executed = self.router.executed
        if live or executed.foreign:
            executed.update_foreign(live, clock())
        if live - executed.foreign.keys() or is_first:
            for name, block in self.directory.foreign_tables(EXECUTED_TABLE, executed.foreign).items():
                executed.add_foreign(name, block, is_alive=name in live)
            self.directory.remove_dead_tables(EXECUTED_TABLE)

    def _share_key_order(self, order: SharedKeyOrder, live: set[str], *, is_first: bool) -> None:
        """Keep the order of each key together with the other processes, while there are any.

        The file of a process that was killed stays while it has a request out, as a process that starts later
        has to know of that.
        """
        was_shared = bool(order.foreign)
        if live - order.foreign.keys() or is_first:
            for name, block in self.directory.foreign_tables(KEY_ORDER_TABLE, order.foreign).items():
                order.add_foreign(name, block, is_alive=name in live)
        if not (order.foreign or was_shared):
            return
        seen = set(order.foreign)
        order.update_foreign(live, clock())
        if order.foreign.keys() != seen:
            self.directory.remove_dead_tables(KEY_ORDER_TABLE, order.foreign)
        if bool(order.foreign) == was_shared:
            return
        self.router.share_key_order(order if order.foreign else None)
        if not order.foreign:
            order.withdraw_all()

    def _apply_exclusions(self) -> None:
        excluded = self.directory.exclusions()
        for name in sorted(excluded ^ self.router.excluded):
            self.router.table.remember_id(name)
            self.router.exclude(name, name in excluded)
