"""Host that runs many balancer instances in one process. Instances share no state."""

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
    """The balancer instances of one simulation.

    Attributes:
        instances: Running instances, by the number that the simulator gave them.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._endpoint_lists: dict[int, bytes] = {}  # encoded entries, by list number
        self._actions: list[bytes] = []  # encoded actions of the current batch

    def handle_batch(self, batch: Batch) -> bytes:
        """Pass the records of a batch to their instances.

        Returns:
            The encoded reply: the actions of all instances, in the order in which they were taken.

        Raises:
            SimulatorProtocolError: A record is malformed, or refers to an unknown instance or list.
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
        except Exception as error:  # a bug in the policy: report a fault and keep the other instances running
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
        except Exception as error:  # a bug in the policy: report a fault and keep the other instances running
            self._actions.append(_fault(number, error))

    def _check_codes(self, record: AttemptFinished | HealthCheckFinished | DiscoveryUpdate) -> None:
        """Raise `SimulatorProtocolError` if a record has a code that the protocol does not define.

        Such a value is an error in the input, so it is not reported as a fault of the policy.
        """
        wire_name = WIRE_NAMES[type(record)]
        if not isinstance(record, DiscoveryUpdate):
            if not Outcome.SUCCEEDED <= record.outcome <= Outcome.NOT_SENT:
                raise SimulatorProtocolError(f"{wire_name}: unknown outcome {record.outcome}")
            return
        if record.scope > UpdateScope.FAILED:
            raise SimulatorProtocolError(f"{wire_name}: unknown scope {record.scope}")
        if record.scope != UpdateScope.FAILED and record.list_number not in self._endpoint_lists:
            raise SimulatorProtocolError(f"{wire_name}: list {record.list_number} was never sent")


def _fault(number: int, error: Exception) -> bytes:
    return actions.fault(number, f"{type(error).__name__}: {error}")
