"""A file read whole: its routes as decided by, its settings as shown, explained and compared."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from dahliabend.config.operator_file.decoder import decode_file
from dahliabend.config.operator_file.loader import load_source
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Fault, Key, Source, format_key
from dahliabend.config.operator_file.units import UNITS, Duration
from dahliabend.routing_rules.checks import FIELDS, EffectiveTreatment, check, key_of_field, target_pools
from dahliabend.routing_rules.route_table import RouteTable

RESTART = ("listeners", "members")  # what a reload passes over,
TAKEN = {"zone", "weight", "seeds", "seeds-file", "seeds-discovery", "key-files"}  # but for these of members


@dataclass(slots=True)
class LoadedFile:
    """What came of a file: settings, unless it has faults of form, and all faults, by place."""

    source: Source
    file: OperatorFile | None
    faults: list[Fault] = field(default_factory=list)

    @property
    def is_usable(self) -> bool:
        return self.file is not None and not self.faults


def load_file(path: str, **more) -> LoadedFile:
    """Reads and checks; nothing is raised for what is in the file."""
    source = load_source(path, **more)
    file = decode_file(source)
    if file is not None:
        check(file, source)
    return LoadedFile(source, file, sorted(set(source.faults)))


def said(value) -> object:
    """A value as the file writes it."""
    if isinstance(value, UNITS):
        return str(value)
    return value


def settings(made: LoadedFile) -> dict[str, tuple[object, str]]:
    """Every setting in force: its value as written, and the place that says it, or `default`."""
    found: dict[str, tuple[object, str]] = {}

    def walk(value, key: Key) -> None:
        if isinstance(value, msgspec.Struct):
            for entry in msgspec.structs.fields(value):
                walk(getattr(value, entry.name), (*key, entry.encode_name))
        elif isinstance(value, dict) and key != ("log", "sample"):
            for name, each in value.items():
                walk(each, (*key, name))
        elif isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
            for number, each in enumerate(value):
                walk(each, (*key, number))
        elif value is not None:
            place = made.source.places.get(key)
            found[format_key(key)] = said(value), f"{place.file}:{place.line}" if place else "default"

    walk(made.file, ())
    return found


def explain(made: LoadedFile, method: str, path: str, headers: Mapping[str, str]) -> dict:
    """Which route a request takes, why, what will be tried and for how long. Header names in any case."""
    file = made.file
    low = {name.lower(): value for name, value in headers.items()}
    number = RouteTable(file.routes).find(method, path, low)
    if number is None:
        return {"route": None, "why": "no route takes it: it is answered 404"}
    route, kind = file.routes[number], file.classes[file.routes[number].class_]
    treatment = EffectiveTreatment(file, route, number)
    place = made.source.place(("routes", number))
    why = [f"its path begins with {route.path}"]
    why += [f"its method is one of {', '.join(route.methods)}"] if route.methods else []
    why += [f"{name} is {value!r}" for name, value in route.headers.items()]
    total = sum((route.pools or {}).values()) or 1
    shares = {name: weight / total for name, weight in (route.pools or {route.pool: 1.0}).items()}
    return {
        "route": route.name,
        "at": f"{place.file}:{place.line}",
        "why": "; ".join(why),
        "class": route.class_,
        "effect": kind.effect,
        "pools": {name: f"{100 * share:g}%" for name, share in shares.items()},
        "split": f"by {route.split_by}" if route.split_by else "by turns" if len(shares) > 1 else "none",
        "fallback": route.fallback or {n: file.pools[n].fallback for n in shares if file.pools[n].fallback},
        "mirror": f"{route.mirror_share} to {route.mirror}" if route.mirror else None,
        "treatment": {
            key_of_field(name): {
                "value": said(treatment.values[name]),
                "from": format_key(treatment.keys[name]),
            }
            for name in FIELDS
            if treatment.values.get(name) is not None
        },
        "tried": tried(treatment, kind.effect),
    }


def tried(made: EffectiveTreatment, effect: str) -> list[str]:
    """In words, in the order in which it happens."""
    hop = made.hop_time or made.total_time
    steps = [f"one hop of up to {Duration(hop)}"]
    if made.second_copy_after is not None:
        steps.append(f"a second beside it after {made.second_copy_after}, the first answer counts")
    if made.attempts > 1:
        steps.append(f"after one that never ran: another, {made.attempts} hops at the most")
    if made.replays:
        steps.append(f"after one that may have run: another, {made.replays} times at the most")
    elif made.attempts > 1:
        steps.append(f"after one that may have run: none, as it is {effect}")
    steps.append(f"after {made.total_time} it is over: rolled back if harmless, else abandoned")
    return steps


def diff(old: LoadedFile, new: LoadedFile) -> list[dict]:
    """What a reload from one to the other would change; each with what becomes of it."""
    before, after = by_name(old), by_name(new)
    found = []
    for key in sorted(before.keys() | after.keys()):
        was, now = before.get(key), after.get(key)
        if was != now:
            how = "added" if was is None else "removed" if now is None else "changed"
            found.append({"key": key, "how": how, "old": was, "new": now, "effect": effect(key, how, new)})
    return found


def by_name(made: LoadedFile) -> dict[str, object]:
    """Settings by keys that hold when routes change their order: a route goes by its name."""
    names = [route.name for route in made.file.routes]
    found = {}
    for key, (value, _) in settings(made).items():
        if key.startswith("routes["):
            number, _, rest = key[7:].partition("]")
            key = f"routes.{names[int(number)]}{rest}"
        found[key] = value
    return found


def needs_restart(key: str) -> bool:
    """Does a change of this wait for a restart?"""
    top, _, rest = key.partition(".")
    return top in RESTART and not (top == "members" and rest.partition("[")[0] in TAKEN)


def effect(key: str, how: str, new: LoadedFile) -> str:
    top, _, rest = key.partition(".")
    name = rest.partition(".")[0]
    if needs_restart(key):
        return "wants a restart; a reload passes it over"
    if top == "pools" and how == "removed" and name not in new.file.pools:
        return "the pool goes once what is open there has ended"
    if top == "routes" and how == "removed" and name not in [route.name for route in new.file.routes]:
        return "the route takes nothing new; what is open ends as it was taken"
    return "from the reload on, for what is taken then"


__all__ = ["LoadedFile", "diff", "explain", "load_file", "settings", "target_pools"]
