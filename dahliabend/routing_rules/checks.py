"""What a file may not say, although each key is well formed: the rules, and what could never act.

Every check adds its faults to the source, with the place of the key that has to change.
"""

from collections.abc import Iterator

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.decoder import nearest
from dahliabend.config.operator_file.schema import (
    ClassSettings,
    MembershipSettings,
    OperatorFile,
    PoolSettings,
    RouteSettings,
    TreatmentSettings,
)
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.config.operator_file.units import Duration
from dahliabend.routing_rules.route_table import RouteTable

HTTP_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
MOST_ATTEMPTS = 64
LONGEST, LEAST_KEY, MOST_WEIGHT = 64, 32, 1e6  # bytes of a name, of a key
LEAST_PROBING = Duration(4_000_000)  # eight beats of signals: what was found has to come round
LEAST_PERIOD, MOST_PERIOD = Duration(20_000), Duration(60_000_000)
FIELDS = ("hop_time", "total_time", "attempts", "replays", "second_copy_after", "retry_share", "concurrency",
          "rate", "burst")  # fmt: skip
DEFAULTS = {"attempts": 3}


def key_of_field(name: str) -> str:
    return name.rstrip("_").replace("_", "-")


class EffectiveTreatment:
    """A route's treatment: each value, and the key that says it."""

    def __init__(self, file: OperatorFile, route: RouteSettings, number: int) -> None:
        kind = file.classes.get(route.class_)
        levels: list[tuple[TreatmentSettings, Key]] = [(route, ("routes", number))]
        if kind is not None:
            levels.append((kind, ("classes", route.class_)))
        levels.append((file.defaults, ("defaults",)))
        self.keys: dict[str, Key] = {}
        self.values: dict[str, object] = {}
        for name in FIELDS:
            for level, above in levels:
                value = getattr(level, name)
                if value is not None:
                    self.values[name], self.keys[name] = value, (*above, key_of_field(name))
                    break
            else:
                self.values[name], self.keys[name] = DEFAULTS.get(name), ("routes", number)
        if self.values["total_time"] is None and kind is not None:
            self.values["total_time"] = kind.hard_limit
            self.keys["total_time"] = ("classes", route.class_, "hard-limit")
        if self.values["replays"] is None and kind is not None:
            self.values["replays"] = 0 if kind.effect == "non-idempotent" else self.values["attempts"] - 1

    def __getattr__(self, name: str):
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(name) from None


def check(file: OperatorFile, source: Source) -> None:
    """All checks; faults go to the source."""
    _listeners(file, source)
    if file.members is not None:
        _members_among(file.members, source)
    _classes(file, source)
    _pools(file, source)
    _routes(file, source)


def _listeners(file: OperatorFile, source: Source) -> None:
    taken: dict[str, str] = {}
    for name, listener in file.listeners.items():
        key = ("listeners", name, "address")
        _address(listener.address, key, source)
        if listener.address in taken:
            source.fault(key, f"{listener.address} is {taken[listener.address]!r}'s already")
        taken[listener.address] = name


def _members_among(members: MembershipSettings, source: Source) -> None:
    """The balancers' own table."""
    key = ("members",)
    places = {"address": members.address, "advertise": members.advertise}
    for name, text in (places | {"seeds-discovery": members.seeds_discovery}).items():
        if text is not None:
            _address(text, (*key, name), source)
    for number, seed in enumerate(members.seeds):
        _address(seed, (*key, "seeds", number), source)
    for name in ("name", "zone"):
        text = getattr(members, name)
        if text is not None and len(text.encode()) > LONGEST or text == "" and name == "name":
            source.fault((*key, name), f"{text!r} is not between 1 and {LONGEST} bytes long")
    if not 0 < members.weight < MOST_WEIGHT:
        source.fault((*key, "weight"), f"{members.weight:g} is not between 0 and {MOST_WEIGHT:g}")
    if not LEAST_PERIOD <= members.period <= MOST_PERIOD:
        source.fault((*key, "period"), f"{members.period} is not between {LEAST_PERIOD} and {MOST_PERIOD}")
    if members.probing:
        if not members.signals:
            source.fault((*key, "probing"), "wants signals = true: by these the others hear what came of it")
        if not LEAST_PROBING <= members.probing <= MOST_PERIOD:
            source.fault(
                (*key, "probing"), f"{members.probing} is not between {LEAST_PROBING} and {MOST_PERIOD}"
            )
    if members.forget < 100 * members.period:
        source.fault((*key, "forget"), f"{members.forget} is less than a hundred periods")
    if not 0 < members.cut < 1:
        source.fault((*key, "cut"), f"{members.cut} is not between 0 and 1")
    if not 1 <= len(members.key_files) <= 2:
        source.fault(
            (*key, "key-files"), f"names {len(members.key_files)} files: one, or two while a key is replaced"
        )
    for number, name in enumerate(members.key_files):
        try:
            least = len(source.reads(source.beside(name)).strip())
        except OSError as error:
            source.fault((*key, "key-files", number), f"{name} can't be read: {error.strerror or error}")
            continue
        if least < LEAST_KEY:
            source.fault(
                (*key, "key-files", number), f"{name}: {least} bytes; a key has {LEAST_KEY} at least"
            )


def _address(text: str, key: Key, source: Source) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        source.fault(key, str(error))


def _positive(table, key: Key, source: Source) -> None:
    for name in ("hop_time", "total_time", "second_copy_after", "concurrency", "rate", "burst"):
        value = getattr(table, name)
        if value is not None and value <= 0:
            source.fault((*key, key_of_field(name)), f"{value} is not above 0")
    if table.attempts is not None and not 1 <= table.attempts <= MOST_ATTEMPTS:
        source.fault((*key, "attempts"), f"{table.attempts} is not between 1 and {MOST_ATTEMPTS}")
    if table.replays is not None and table.replays < 0:
        source.fault((*key, "replays"), f"{table.replays} is below 0")


def _classes(file: OperatorFile, source: Source) -> None:
    _positive(file.defaults, ("defaults",), source)
    for name, kind in file.classes.items():
        key = ("classes", name)
        _positive(kind, key, source)
        for field in ("service_goal", "hard_limit"):
            if getattr(kind, field) <= 0:
                source.fault((*key, key_of_field(field)), f"{getattr(kind, field)} is not above 0")
        if kind.service_goal > kind.hard_limit:
            source.fault(
                (*key, "service-goal"), f"{kind.service_goal} is over the hard limit, {kind.hard_limit}"
            )
        if kind.effect == "journalled" and kind.repeat_window <= 0:
            source.fault(key, "repeat-window is missing: how long is a journalled transaction remembered?")
        if kind.effect != "journalled" and kind.repeat_window:
            source.fault((*key, "repeat-window"), f"only journalled classes have one, this is {kind.effect}")
        if kind.revenue < 0:
            source.fault((*key, "revenue"), f"{kind.revenue:g} is below 0")


def _pools(file: OperatorFile, source: Source) -> None:
    listening = {listener.address for listener in file.listeners.values()}
    for name, pool in file.pools.items():
        key = ("pools", name)
        ways = [way for way in ("discovery", "members", "file") if getattr(pool, way) is not None]
        if not ways:
            source.fault(key, "has no members: discovery, members or file is missing")
        elif len(ways) > 1:
            source.fault((*key, ways[1]), f"{ways[0]} says already who its members are")
        if pool.members is not None:
            _members(pool, key, listening, source)
        if pool.discovery is not None:
            _address(pool.discovery, (*key, "discovery"), source)
        if pool.file is not None and not pool.file:
            source.fault((*key, "file"), "names no file")
        if pool.fallback is not None and _known(
            pool.fallback, file.pools, "pool", (*key, "fallback"), source
        ):
            ring = _ring(file, name)
            if ring:
                source.fault((*key, "fallback"), f"goes round: {' -> '.join(ring)}")
        if pool.balancers < 1:
            source.fault((*key, "balancers"), f"{pool.balancers} is not above 0")
        for field in ("least", "degree", "hold") if pool.subset is not None else ():
            if getattr(pool.subset, field) <= 0:
                source.fault((*key, "subset", field), f"{getattr(pool.subset, field)} is not above 0")
        if pool.subset is not None and pool.subset.self_index is not None:
            index, here = pool.subset.self_index, (*key, "subset", "self-index")
            if not 0 <= index < pool.balancers:
                source.fault(here, f"{index} is not between 0 and {pool.balancers - 1}: see balancers")
            elif file.members is not None:
                source.fault(here, "[members] says already who balances")
        if pool.cold.multiple <= 1:
            source.fault((*key, "cold", "multiple"), f"{pool.cold.multiple:g} is not above 1")
        for field in ("idle", "dial_time", "grace"):
            if getattr(pool, field) <= 0:
                source.fault((*key, key_of_field(field)), f"{getattr(pool, field)} is not above 0")


def _members(pool: PoolSettings, key: Key, listening: set[str], source: Source) -> None:
    if not pool.members:
        source.fault((*key, "members"), "is empty")
    ids: set[str] = set()
    for number, member in enumerate(pool.members):
        here = (*key, "members", number)
        _address(member.address, (*here, "address"), source)
        if member.address in listening:
            source.fault((*here, "address"), f"{member.address} is this balancer's own: it would ask itself")
        if member.id in ids:
            source.fault((*here, "id"), f"{member.id!r} is there twice")
        ids.add(member.id)
        if member.weight <= 0:
            source.fault((*here, "weight"), f"{member.weight:g} is not above 0")


def _ring(file: OperatorFile, name: str) -> list[str]:
    """The pools from this one round to itself by their fallbacks; empty where they don't go round to it."""
    seen, at = [name], file.pools[name].fallback
    while at in file.pools and at not in seen:
        seen.append(at)
        at = file.pools[at].fallback
    return [*seen, name] if at == name else []


def _known(name: str, among, what: str, key: Key, source: Source) -> bool:
    if name in among:
        return True
    source.fault(key, f"there is no {what} {name!r}{nearest(name, among)}")
    return False


def _routes(file: OperatorFile, source: Source) -> None:
    if not file.routes:  # an empty file, or one cut short, would turn every caller away
        source.fault(("routes",), "there are none")
    names: dict[str, int] = {}
    for number, route in enumerate(file.routes):
        key = ("routes", number)
        _positive(route, key, source)
        if route.name in names:
            source.fault((*key, "name"), f"{route.name!r} is the name of routes[{names[route.name]}] already")
        names.setdefault(route.name, number)
        if not route.path.startswith("/") or "?" in route.path or "//" in route.path:
            source.fault((*key, "path"), f"{route.path!r} is no path: it begins with / and has no query")
        for place, method in enumerate(route.methods):
            if method not in HTTP_METHODS:
                hint = nearest(method.upper(), HTTP_METHODS)
                source.fault((*key, "methods", place), f"{method!r} is no method{hint}")
        _split(file, route, key, source)
        if _known(route.class_, file.classes, "class", (*key, "class"), source):
            _treatment(file, route, number, file.classes[route.class_], source)
    for number, by in RouteTable(file.routes).shadowed():
        source.fault(
            ("routes", number, "path"),
            f"is never reached: {file.routes[by].name!r} takes the same requests before it",
        )


def target_pools(route: RouteSettings) -> Iterator[str]:
    if route.pool is not None:
        yield route.pool
    yield from route.pools or {}


def _split(file: OperatorFile, route: RouteSettings, key: Key, source: Source) -> None:
    if (route.pool is None) == (route.pools is None):
        source.fault(key, "needs either pool or pools")
    if route.pool is not None:
        _known(route.pool, file.pools, "pool", (*key, "pool"), source)
    for name, weight in (route.pools or {}).items():
        _known(name, file.pools, "pool", (*key, "pools", name), source)
        if weight < 0:
            source.fault((*key, "pools", name), f"{weight:g} is below 0")
    if route.pools is not None and sum(route.pools.values()) <= 0:
        source.fault((*key, "pools"), "the weights sum to nothing")
    if route.split_by is not None and route.pools is None:
        source.fault((*key, "split-by"), "there is nothing to split: pools is missing")
    if route.fallback is not None and _known(route.fallback, file.pools, "pool", (*key, "fallback"), source):
        if route.fallback in target_pools(route):
            source.fault((*key, "fallback"), f"{route.fallback!r} is what the route goes to anyway")
        elif file.pools[route.fallback].fallback in target_pools(route):
            back = file.pools[route.fallback].fallback
            source.fault((*key, "fallback"), f"goes round: {route.fallback!r} falls back to {back!r}")
    if route.mirror is not None and _known(route.mirror, file.pools, "pool", (*key, "mirror"), source):
        kind = file.classes.get(route.class_)
        if kind is not None and kind.effect != "idempotent":
            source.fault((*key, "mirror"), f"{route.class_!r} is {kind.effect}: a copy would have an effect")
        if route.mirror in target_pools(route):
            source.fault(
                (*key, "mirror"), f"{route.mirror!r} answers this route: it would get each one twice"
            )


def _treatment(
    file: OperatorFile, route: RouteSettings, number: int, kind: ClassSettings, source: Source
) -> None:
    """Against the rules: each fault stands at the key that says the value, wherever that is."""
    made = EffectiveTreatment(file, route, number)
    name, limit = route.name, kind.hard_limit

    def fault(field: str, reason: str) -> None:
        key = made.keys[field]
        inherited = f" (for the route {name!r})" if key[0] != "routes" else ""
        source.fault(key, reason + inherited)

    if route.shared:
        key = ("routes", number, "shared")
        if file.members is None or not file.members.signals:
            source.fault(
                key, "wants [members] with signals = true: by these the others hear of each one's part"
            )
        if made.rate is None and made.concurrency is None:
            source.fault(key, "there is no rate and no concurrency to share")
    if made.total_time > limit:
        fault("total_time", f"{made.total_time} is over the hard limit of {route.class_!r}, {limit}")
    if made.hop_time is not None:
        if made.hop_time > limit:
            fault("hop_time", f"{made.hop_time} is over the hard limit of {route.class_!r}, {limit}")
        elif made.hop_time > made.total_time:
            fault("hop_time", f"{made.hop_time} is over the total time, {made.total_time}")
        elif "attempts" in made.values and made.keys["attempts"][-1] == "attempts":
            need = Duration(made.attempts * made.hop_time)
            if need > made.total_time:
                fault(
                    "attempts", f"{made.attempts} of {made.hop_time} take {need}; there are {made.total_time}"
                )
    if made.second_copy_after is not None:
        if kind.effect != "idempotent":
            fault("second_copy_after", f"{route.class_!r} is {kind.effect}: never two hops at once")
        elif made.attempts < 2:
            fault("second_copy_after", "attempts allows no second hop")
        elif made.second_copy_after >= (made.hop_time or made.total_time):
            fault("second_copy_after", f"{made.second_copy_after} is over the time of a hop: it never acts")
    if made.replays:
        if kind.effect == "non-idempotent":
            fault("replays", f"{route.class_!r} is non-idempotent: it may have an effect twice")
        elif made.replays >= made.attempts and made.keys["replays"][-1] == "replays":
            fault(
                "replays",
                f"{made.replays} replays need {made.replays + 1} attempts, there are {made.attempts}",
            )
    _shares(file, route, made, fault)
    _cold(file, route, made, fault)


def _shares(file: OperatorFile, route: RouteSettings, made: EffectiveTreatment, fault) -> None:
    """Retries in a pool, and again in the one that it falls back to, multiply."""
    share = made.retry_share
    if share is None:
        return
    falls = route.fallback or any(
        file.pools[name].fallback for name in target_pools(route) if name in file.pools
    )
    together = (1 + share) ** 2 - 1 if falls else share
    most = file.defaults.most_retry_share
    if together > most + 1e-9:
        why = " with the fallback's" if falls else ""
        fault("retry_share", f"{100 * together:g}% of first hops{why}; {most} is the most")


def _cold(file: OperatorFile, route: RouteSettings, made: EffectiveTreatment, fault) -> None:
    """A limit under which a cold upstream would get not one transaction while it is cold is too low: it would
    be found warm only by chance."""
    if made.rate is None:
        return
    for name in target_pools(route):
        pool = file.pools.get(name)
        if pool is None or not pool.members:
            continue
        part = (route.pools or {name: 1.0}).get(name, 0.0) / (sum((route.pools or {name: 1.0}).values()) or 1)
        got = made.rate * part * pool.cold.share * pool.cold.time / 1e6 / len(pool.members)
        if 0 < got < 1:
            told = f"{got:.2g} transactions in {pool.cold.time}"
            return fault("rate", f"{made.rate}: a cold upstream of {name!r} would get {told}")
