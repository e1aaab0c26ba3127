"""The schema of an operator's file, with all defaults.

A field's name is its key with `_` in place of `-`, unless `field(name=)` gives the key. Decoded times are in
microseconds.
"""

from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import ByteSize, Duration, Fraction, Rate

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
Idempotency = Literal["idempotent", "journalled", "non-idempotent"]


class FileTable(msgspec.Struct, rename="kebab", kw_only=True):
    """The base class of tables in the file; maps keys from kebab case."""


class TreatmentSettings(FileTable, kw_only=True):
    """Timeouts, attempts and limits of requests.

    A route's values take precedence over those of its class, and these over `[defaults]`.
    """

    attempt_timeout: Duration | None = msgspec.field(name="hop-time", default=None)
    total_time: Duration | None = None  # of all attempts together; default: the class's `hard-limit`
    attempts: int | None = None  # maximum, including the first one
    replays: int | None = None  # maximum of retries after an attempt that may have executed
    second_copy_after: Duration | None = None  # delay before a slow first attempt is hedged
    retry_share: Fraction | None = None  # retries after attempts that may have executed, per first attempt
    concurrency: int | None = None  # maximum of requests in flight
    rate: Rate | None = None
    burst: int | None = None  # requests that may arrive at once above the rate


class DefaultSettings(TreatmentSettings, kw_only=True):
    """`[defaults]`: defaults for all routes."""

    most_retry_share: Fraction = Fraction(0.25)  # maximum of a route's share with that of its fallback


class ListenerSettings(FileTable, kw_only=True):
    """`[listeners.NAME]`: an address that clients or operators connect to."""

    address: str


class LogSettings(FileTable, kw_only=True):
    """`[log]`: settings of the event log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    access: bool = False  # whether each request is logged
    sample: dict[str, Fraction] = {}  # fraction of the lines to write, by event


class SlowStartSettings(FileTable, kw_only=True):
    """`[pools.NAME.cold]`: how a new upstream warms up."""

    share: Fraction = Fraction(0.2)  # of its capacity, at its start
    time: Duration = Duration(10 * SECOND)  # until it reaches its full capacity
    multiple: float = 3.0  # of its capacity at which it fails


class EndpointSettings(FileTable, kw_only=True):
    """`[[pools.NAME.members]]`: an upstream."""

    id: str
    address: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0


class SubsetSettings(FileTable, kw_only=True):
    """`[pools.NAME.subset]`: each balancer uses a subset of the upstreams; together they load all evenly."""

    least: int = 12  # minimum of upstreams that a balancer uses
    degree: int = 12  # mean number of balancers that use an upstream
    zones: bool = False  # prefer upstreams in the same zone, and use others for what exceeds its capacity
    self_index: int | None = None  # of this one of the pool's balancers, from 0; default: from the membership
    hold: Duration = Duration(60 * SECOND)  # for which a possibly partitioned view removes no upstream


class PoolSettings(FileTable, kw_only=True):
    """`[pools.NAME]`: upstreams that share a policy. One of the first three keys lists them."""

    discovery: str | None = None
    members: list[EndpointSettings] | None = None
    file: str | None = None  # a watched file in the discovery service's format
    fallback: str | None = None
    fallback_below: Fraction = Fraction(0.0)  # fraction of ready upstreams up to which the fallback is used
    balancers: int = 1  # number of balancers that use the pool
    probes: bool = False  # whether health checks may be sent
    cancels: bool = True  # whether attempts may be cancelled
    idle: Duration = Duration(15 * SECOND)  # idle timeout of connections to upstreams
    dial_time: Duration = Duration(250 * MILLISECOND)
    # Time for which a draining upstream may still be used. Only simulations check it.
    drain_notice_time: Duration = msgspec.field(name="grace", default=Duration(1_500 * MILLISECOND))
    slow_start: SlowStartSettings = msgspec.field(name="cold", default_factory=SlowStartSettings)
    subset: SubsetSettings | None = None


class ClassSettings(TreatmentSettings, kw_only=True):
    """`[classes.NAME]`: a request class, with its objectives and its priority."""

    effect: Idempotency
    service_goal: Duration  # latency objective
    hard_limit: Duration  # deadline
    revenue: float = 1.0  # priority weight
    late_share: Fraction = Fraction(0.0)  # of the revenue, for a response after the service goal
    group: Literal["all", "zone", "cell"] = "all"  # deduplication scope
    repeat_window: Duration = Duration(0)  # deduplication window
    longest_body: ByteSize = ByteSize(32 << 20)  # accepted, but another value has no effect


class RouteSettings(TreatmentSettings, kw_only=True):
    """`[[routes]]`: the requests that match a route, and the pools that they are sent to."""

    name: str
    class_: str = msgspec.field(name="class")
    path: str = "/"  # a prefix of whole path segments
    methods: list[str] = []  # empty for all methods
    headers: dict[str, str] = {}  # header fields that the request must have, with these values
    pool: str | None = None
    pools: dict[str, float] | None = None  # weights, by pool
    split_by: str | None = None  # a header field; requests with the same value use the same pool
    fallback: str | None = None  # replaces the pool's fallback
    shared: bool = False  # rate and concurrency are of the whole cluster, divided by the balancers' demand
    mirror: str | None = None  # a pool that gets copies of requests; its responses are dropped
    mirror_share: Fraction = Fraction(1.0)


class MembershipSettings(FileTable, kw_only=True):
    """`[members]`: the membership of this balancer in a cluster. Seeds from all keys are combined."""

    address: str  # UDP address that this balancer receives datagrams on
    advertise: str | None = None  # address that the others send to; default: `address`
    name: str | None = None  # must not change in a restart; default: the address that the others send to
    zone: str = ""
    weight: float = 1.0
    demand: bool = False  # the weight is this balancer's demand in requests per second, announced on changes
    signals: bool = False  # exchange health reports on upstreams
    probing: Duration = Duration(0)  # period in which one balancer checks an upstream for all; 0: not shared
    seeds: list[str] = []
    seeds_file: str | None = None  # a watched file in the discovery service's format
    seeds_discovery: str | None = None
    key_files: list[str] = []  # the first key signs datagrams, all of them verify
    keep: str | None = None  # file with the members and the state for a successor
    period: Duration = Duration(SECOND)  # protocol period
    forget: Duration = Duration(3600 * SECOND)  # time for which departed members are remembered
    cut: Fraction = Fraction(1 / 3)  # of the cluster: losing more in a short time is taken for a partition


class OperatorFile(FileTable, kw_only=True):
    """The complete file, with its included files merged."""

    include: list[str] = []
    listeners: dict[str, ListenerSettings] = {}
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    defaults: DefaultSettings = msgspec.field(default_factory=DefaultSettings)
    members: MembershipSettings | None = None
    pools: dict[str, PoolSettings] = {}
    classes: dict[str, ClassSettings] = {}
    routes: list[RouteSettings] = []
