"""Hosts many instances of the decisions in one process; they share nothing but the code."""

from dahliabend.config.policy_settings import to_microseconds
from dahliabend.errors import SimulatorProtocolError
from dahliabend.model import EndpointState, Outcome
from dahliabend.simulator_adapter import actions
from dahliabend.simulator_adapter.codec import Batch, decode_records, encode_reply
from dahliabend.simulator_adapter.instance import Instance
from dahliabend.simulator_adapter.wire_format import (
    ENDPOINT_ENTRY,
    WIRE_NAMES,
    AttemptFinished,
    DiscoveryUpdate,
    EndpointList,
    HealthCheckFinished,
    InstanceRecord,
    InstanceStart,
    InstanceStop,
    UpdateScope,
)

RECORDS_WITH_CODES = (AttemptFinished, HealthCheckFinished, DiscoveryUpdate)


class Host:
    """All instances of one simulation.

    Attributes:
        instances: Those that run, by the simulator's number.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._endpoint_lists: dict[int, bytes] = {}  # encoded entries, by the number of the list
        self._actions: list[bytes] = []  # of the batch in hand

    def handle_batch(self, batch: Batch) -> bytes:
        """Pass the records of a batch to their instances.

        Returns:
            The encoded reply: the actions of all instances, in order.

        Raises:
            SimulatorProtocolError: A record breaks the wire format or names what does not exist.
        """
        now = to_microseconds(batch.clock)
        self._actions.clear()
        for record in decode_records(batch):
            if isinstance(record, EndpointList):
                self._store_endpoint_list(record)
            elif isinstance(record, InstanceStart):
                self._start(record)
            elif isinstance(record, InstanceStop):
                self.instances.pop(record.instance, None)
            else:
                self._forward(now, record)
        return encode_reply(self._actions)

    def _store_endpoint_list(self, record: EndpointList) -> None:
        entries = ENDPOINT_ENTRY.iter_unpack(record.entries)
        if any(state > EndpointState.DRAINING for _, _, _, _, _, state, _ in entries):
            raise SimulatorProtocolError(
                f"{WIRE_NAMES[EndpointList]}: unknown health in list {record.list_number}"
            )
        self._endpoint_lists[record.list_number] = record.entries

    def _start(self, record: InstanceStart) -> None:
        number = record.instance
        try:
            self.instances[number] = Instance(number, record.seed, record.settings, self._actions)
        except SimulatorProtocolError:
            raise
        except Exception as error:  # whatever the decisions raise is theirs, and reported as that
            self._actions.append(_fault(number, error))

    def _forward(self, now: int, record: InstanceRecord) -> None:
        number = record.instance
        instance = self.instances.get(number)
        if instance is None:
            wire_name = WIRE_NAMES[type(record)]
            raise SimulatorProtocolError(f"{wire_name} for instance {number}, which was never started")
        if isinstance(record, RECORDS_WITH_CODES):
            self._check_codes(record)
        try:
            instance.handle(now, record, self._endpoint_lists)
        except Exception as error:  # whatever the decisions raise is theirs, and reported as that
            self._actions.append(_fault(number, error))

    def _check_codes(self, record: AttemptFinished | HealthCheckFinished | DiscoveryUpdate) -> None:
        """Raise for values outside the wire's tables, which are no fault of the decisions."""
        wire_name = WIRE_NAMES[type(record)]
        if not isinstance(record, DiscoveryUpdate):
            if not Outcome.SUCCEEDED <= record.outcome <= Outcome.NOT_SENT:
                raise SimulatorProtocolError(f"{wire_name}: unknown outcome")
            return
        if record.scope > UpdateScope.FAILED:
            raise SimulatorProtocolError(f"{wire_name}: unknown scope {record.scope}")
        if record.scope != UpdateScope.FAILED and record.list_number not in self._endpoint_lists:
            raise SimulatorProtocolError(f"{wire_name}: list {record.list_number} was never sent")


def _fault(number: int, error: Exception) -> bytes:
    return actions.fault(number, f"{type(error).__name__}: {error}")
