"""Hot restart: takeover from a predecessor on the same listening socket.

Both processes run side by side until the predecessor exits.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from dahliabend.proxy.router import Router
from dahliabend.server.hot_restart import HotRestart, ProcessKey
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
        self._has_read_executed = False

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
            self.router.executed.share(self.directory.create_executed_table())
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
        self._share_executed_requests(set(live))
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

    def _share_executed_requests(self, live: set[ProcessKey]) -> None:
        """Look at the requests that other processes may have run, for some time after their end as well."""
        executed = self.router.executed
        live_names = {f"{key.start_order}-{key.process_id}" for key in live}
        if live or executed.foreign:
            executed.update_foreign(live_names, clock())
        if live_names - executed.foreign.keys() or not self._has_read_executed:
            self._has_read_executed = True
            for name, block in self.directory.executed_tables(executed.foreign).items():
                executed.add_foreign(name, block, is_alive=name in live_names)

    def _apply_exclusions(self) -> None:
        excluded = self.directory.exclusions()
        for name in sorted(excluded ^ self.router.excluded):
            self.router.table.remember_id(name)
            self.router.exclude(name, name in excluded)
