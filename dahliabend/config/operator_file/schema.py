"""What an operator's file may say, with the defaults, in one place.

A field's name is its key with `_` in place of `-`, in the operators' words. Times are microseconds once read.
"""

from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import ByteSize, Duration, Fraction, Rate

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
Idempotency = Literal["idempotent", "journalled", "non-idempotent"]


class FileTable(msgspec.Struct, rename="kebab", kw_only=True):
    """A table of the file."""


class TreatmentSettings(FileTable, kw_only=True):
    """How a request is treated.

    A route's values go before its class's, and these before the file's defaults.
    """

    attempt_timeout: Duration | None = msgspec.field(name="hop-time", default=None)
    total_time: Duration | None = None  # all attempts together; the class's hard limit, if left out
    attempts: int | None = None  # at the most
    replays: int | None = None  # of these, after an attempt that may have executed
    second_copy_after: Duration | None = None  # until a hedged attempt beside a slow first one
    retry_share: Fraction | None = None  # of first attempts: retries after ones that may have executed
    concurrency: int | None = None  # requests in flight
    rate: Rate | None = None
    burst: int | None = None  # requests that may come at once above the rate


class DefaultSettings(TreatmentSettings, kw_only=True):
    """`[defaults]`: for all routes."""

    most_retry_share: Fraction = Fraction(0.25)  # what a route's and its fallback's may come to together


class ListenerSettings(FileTable, kw_only=True):
    """`[listeners.NAME]`: where clients or operators connect."""

    address: str


class LogSettings(FileTable, kw_only=True):
    """`[log]`: what is logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    access: bool = False  # a line for each request
    sample: dict[str, Fraction] = {}  # by event: the share of lines that is written


class SlowStartSettings(FileTable, kw_only=True):
    """`[pools.NAME.cold]`: how a new upstream warms up."""

    share: Fraction = Fraction(0.2)  # of its capacity that it has at its start
    time: Duration = Duration(10 * SECOND)  # until it has all
    multiple: float = 3.0  # of its capacity at which it fails


class EndpointSettings(FileTable, kw_only=True):
    """`[[pools.NAME.members]]`: one upstream."""

    id: str
    address: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0


class SubsetSettings(FileTable, kw_only=True):
    """`[pools.NAME.subset]`: this balancer uses some upstreams, so that the choices of all add up."""

    least: int = 12  # upstreams of each balancer
    degree: int = 12  # balancers of each upstream, in the mean
    zones: bool = False  # same zone first, others for what it has no capacity for
    self_index: int | None = None  # among the pool's balancers, from 0; from the membership, if left out
    hold: Duration = Duration(60 * SECOND)  # how long a view that may be partitioned narrows nothing


class PoolSettings(FileTable, kw_only=True):
    """`[pools.NAME]`: upstreams with one set of decisions. One of the first three keys lists them."""

    discovery: str | None = None
    members: list[EndpointSettings] | None = None
    file: str | None = None  # in discovery's form, watched
    fallback: str | None = None
    fallback_below: Fraction = Fraction(0.0)  # of its upstreams ready: from there on the fallback takes over
    balancers: int = 1
    probes: bool = False
    cancels: bool = True
    idle: Duration = Duration(15 * SECOND)  # idle connections are closed after that
    dial_time: Duration = Duration(250 * MILLISECOND)
    drain_notice_time: Duration = msgspec.field(  # for an upstream that is known to drain
        name="grace", default=Duration(1_500 * MILLISECOND)
    )
    slow_start: SlowStartSettings = msgspec.field(name="cold", default_factory=SlowStartSettings)
    subset: SubsetSettings | None = None


class ClassSettings(TreatmentSettings, kw_only=True):
    """`[classes.NAME]`: requests of one worth, with one objective."""

    effect: Idempotency
    service_goal: Duration
    hard_limit: Duration
    revenue: float = 1.0
    late_share: Fraction = Fraction(0.0)  # of the revenue, for an answer after the goal
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Duration = Duration(0)
    longest_body: ByteSize = ByteSize(32 << 20)


class RouteSettings(TreatmentSettings, kw_only=True):
    """`[[routes]]`: which requests go to which pools."""

    name: str
    class_: str = msgspec.field(name="class")
    path: str = "/"  # a prefix, by complete segments
    methods: list[str] = []  # none: all
    headers: dict[str, str] = {}  # all have to be there, with that value
    pool: str | None = None
    pools: dict[str, float] | None = None  # by weight
    split_by: str | None = None  # a header; requests with the same value use the same pool
    fallback: str | None = None  # in place of its pool's
    shared: bool = False  # its rate and concurrency are those of all balancers, divided by their demand
    mirror: str | None = None  # a pool that gets copies whose answers are dropped
    mirror_share: Fraction = Fraction(1.0)


class MembershipSettings(FileTable, kw_only=True):
    """`[members]`: the balancers among themselves. Seeds are collected from all keys that name some."""

    address: str  # where their datagrams come in, UDP
    advertise: str | None = None  # where the others send to; the address, if left out
    name: str | None = None  # the same after a restart; where the others send to, if left out
    zone: str = ""
    weight: float = 1.0
    demand: bool = False  # its weight is its demand, requests a second, gossiped as it changes
    signals: bool = False  # gossips which upstreams fail
    probing: Duration = Duration(0)  # each upstream is checked once in it, by one of them; 0: each for itself
    seeds: list[str] = []
    seeds_file: str | None = None  # in discovery's form, watched
    seeds_discovery: str | None = None
    key_files: list[str] = []  # the first signs datagrams, each of them verifies
    keep: str | None = None  # a file: known members, and the state that a successor takes over
    period: Duration = Duration(SECOND)
    forget: Duration = Duration(3600 * SECOND)
    cut: Fraction = Fraction(1 / 3)


class OperatorFile(FileTable, kw_only=True):
    """The complete file, with its includes."""

    include: list[str] = []
    listeners: dict[str, ListenerSettings] = {}
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    defaults: DefaultSettings = msgspec.field(default_factory=DefaultSettings)
    members: MembershipSettings | None = None
    pools: dict[str, PoolSettings] = {}
    classes: dict[str, ClassSettings] = {}
    routes: list[RouteSettings] = []
