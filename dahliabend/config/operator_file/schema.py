"""What an operator's file may say, with the defaults, in one place. Times are microseconds once read."""

from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import ByteSize, Duration, Fraction, Rate

MS, S = 1_000, 1_000_000
Effect = Literal["idempotent", "journalled", "non-idempotent"]


class FileTable(msgspec.Struct, rename="kebab", kw_only=True):
    """A table of the file."""


class TreatmentSettings(FileTable, kw_only=True):
    """How a transaction is treated. A route's go before its class's, and these before the file's defaults."""

    hop_time: Duration | None = None  # that one hop may take
    total_time: Duration | None = None  # all hops together; the class's hard limit, if left out
    attempts: int | None = None  # hops at the most
    replays: int | None = None  # of these, after a hop that may have run
    second_copy_after: Duration | None = None  # a second hop beside a slow first one
    retry_share: Fraction | None = (
        None  # of first hops: what may be spent on hops after one that may have run
    )
    concurrency: int | None = None  # transactions in hand at once
    rate: Rate | None = None
    burst: int | None = None  # transactions that may come at once above the rate


class DefaultSettings(TreatmentSettings, kw_only=True):
    most_retry_share: Fraction = Fraction(0.25)  # what a route's and its fallback's may come to together


class ListenerSettings(FileTable, kw_only=True):
    address: str


class LogSettings(FileTable, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    access: bool = False  # a line for each transaction
    sample: dict[str, Fraction] = {}  # by event: the share of lines that is kept


class SlowStartSettings(FileTable, kw_only=True):
    share: Fraction = Fraction(0.2)  # of its capacity that an upstream has at its start
    time: Duration = Duration(10 * S)  # until it has all
    multiple: float = 3.0  # of what it bears: sent more, it falls over


class EndpointSettings(FileTable, kw_only=True):
    id: str
    address: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0


class SubsetSettings(FileTable, kw_only=True):
    """Of a pool's upstreams this balancer uses some, so that the choices of all add up."""

    least: int = 12  # upstreams of each balancer
    degree: int = 12  # balancers of each upstream, in the mean
    zones: bool = False  # own zone first, others for what it can't bear
    self_index: int | None = None  # of the pool's balancers, from 0: the view, where nobody tells one
    hold: Duration = Duration(60 * S)  # how long a view that may be of a part cut off narrows nothing


class PoolSettings(FileTable, kw_only=True):
    """Upstreams with one set of decisions. Exactly one of the first three says who they are."""

    discovery: str | None = None
    members: list[EndpointSettings] | None = None
    file: str | None = None  # in discovery's form, watched
    fallback: str | None = None
    fallback_below: Fraction = Fraction(0.0)  # of its upstreams ready: from there on the fallback takes over
    balancers: int = 1
    probes: bool = False
    cancels: bool = True
    idle: Duration = Duration(15 * S)  # connections at rest are closed after that
    dial_time: Duration = Duration(250 * MS)
    grace: Duration = Duration(1_500 * MS)  # after the news that one drains
    cold: SlowStartSettings = msgspec.field(default_factory=SlowStartSettings)
    subset: SubsetSettings | None = None


class ClassSettings(TreatmentSettings, kw_only=True):
    effect: Effect
    service_goal: Duration
    hard_limit: Duration
    revenue: float = 1.0
    late_share: Fraction = Fraction(0.0)  # of the revenue, for an answer after the goal
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Duration = Duration(0)
    longest_body: ByteSize = ByteSize(32 << 20)


class RouteSettings(TreatmentSettings, kw_only=True):
    name: str
    class_: str = msgspec.field(name="class")
    path: str = "/"  # a prefix, by whole segments
    methods: list[str] = []  # none: all
    headers: dict[str, str] = {}  # all have to be there, with that value
    pool: str | None = None
    pools: dict[str, float] | None = None  # by weight
    split_by: str | None = None  # a header: the same value goes to the same pool
    fallback: str | None = None  # in place of its pool's
    shared: bool = False  # its rate and concurrency are the whole fleet's, divided by what each is asked
    mirror: str | None = None  # a pool that gets copies whose answers are thrown away
    mirror_share: Fraction = Fraction(1.0)


class MembershipSettings(FileTable, kw_only=True):
    """The balancers among themselves. Seeds come from what is named here, from all of it together."""

    address: str  # where their datagrams come in, UDP
    advertise: str | None = None  # where the others send to; the address, if left out
    name: str | None = None  # the same after a restart; where the others send to, if left out
    zone: str = ""
    weight: float = 1.0
    demand: bool = False  # its weight is what it is asked, transactions a second, told as it changes
    signals: bool = False  # tells the others which upstreams fail, and hears it from them
    probing: Duration = Duration(0)  # each upstream is probed once in it, by one of them; 0: each for itself
    seeds: list[str] = []
    seeds_file: str | None = None  # in discovery's form, watched
    seeds_discovery: str | None = None
    key_files: list[str] = []  # the first seals, each opens
    keep: str | None = None  # a file: who was known, and what a successor goes on from
    period: Duration = Duration(S)
    forget: Duration = Duration(3600 * S)
    cut: Fraction = Fraction(1 / 3)


class OperatorFile(FileTable, kw_only=True):
    """The whole file, after its includes."""

    include: list[str] = []
    listeners: dict[str, ListenerSettings] = {}
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    defaults: DefaultSettings = msgspec.field(default_factory=DefaultSettings)
    members: MembershipSettings | None = None
    pools: dict[str, PoolSettings] = {}
    classes: dict[str, ClassSettings] = {}
    routes: list[RouteSettings] = []
