"""Every event that a balancer logs: level, occasion and fields. `docs/events.md` is made of this table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    level: str
    when: str
    fields: tuple[str, ...]


ENDED = ("tx", "profile", "route", "hops", "out", "ms")  # of a transaction
EVENTS = {
    "abandoned": Event("info", "a transaction was answered as failed", ENDED),
    "access": Event(
        "info",
        "a transaction has its answer; off by default",
        ("tx", "how", "profile", "route", "hops", "ms"),
    ),
    "call": Event(
        "info", "an operator called, and it changed something or failed", ("method", "path", "status")
    ),
    "believed": Event(
        "info",
        "several others find an upstream bad: the decisions were told so, as of own hops",
        ("pool", "upstream", "origins"),
    ),
    "committed": Event("debug", "never by itself: see access", ENDED),
    "cut": Event("warning", "an answer that had begun could not be finished", ENDED),
    "demand": Event("info", "this balancer tells the others how much it is asked", ("weight",)),
    "duty": Event(
        "info",
        "this balancer does from now on what one does for all; `place` 0: it is the first in the order",
        ("duty", "fence", "place"),
    ),
    "ended": Event("info", "the process ends in order", ("counts",)),
    "error": Event("error", "a fault of the program itself: report it", ("what", "why")),
    "excluded": Event("info", "an operator took an upstream out", ("upstream",)),
    "failed": Event("error", "it could not start", ("why",)),
    "figures": Event(
        "info",
        "every 5 s, for each pool where there are some",
        ("counts", "held", "connections", "out", "crowd", "tier", "ready", "using", "aside", "retired"),
    ),
    "followed": Event("info", "a process took over from the one before it", ("kept", "upstreams")),
    "handed_over": Event("info", "what is known was written for a successor", ("to",)),
    "handover.none": Event("warning", "there is no folder to share; an upgrade starts afresh", ("why",)),
    "handover.unread": Event("warning", "what another process wrote can't be read", ("why",)),
    "handover.unwritten": Event("warning", "a file for another process could not be written", ("why",)),
    "hop": Event("info", "a hop did not commit", ("tx", "order", "upstream", "outcome", "ms", "why")),
    "included": Event("info", "an operator put an upstream back", ("upstream",)),
    "left": Event("info", "a caller left before its answer", ENDED),
    "list": Event(
        "info", "a list of upstreams, or a change of it, was taken over", ("version", "full", "entries")
    ),
    "list.bad_entry": Event(
        "warning", "an entry of the list can't be read and is passed over", ("why", "entry")
    ),
    "listening": Event("info", "callers are taken", ("address", "entrance", "pools")),
    "member": Event(
        "info",
        "what is known of one balancer changed: joined, suspected, refuted, left, died, returned; unreached "
        "and reached (that one from here), conflict (one name twice), paused (it was away itself), outcast "
        "and counted (it itself, by the others)",
        ("change", "member", "by", "incarnation"),
    ),
    "members.figures": Event(
        "info",
        "every 5 s, where the file has [members]",
        (
            "version",
            "mark",
            "members",
            "suspected",
            "stable",
            "cut",
            "outcast",
            "age_ms",
            "confidence",
            "doubt",
            "sent",
            "sent_bytes",
            "come",
            "come_bytes",
            "dropped",
        ),
    ),
    "members.open": Event(
        "info", "it speaks with the other balancers", ("name", "address", "advertise", "life", "resumed")
    ),
    "members.unread": Event("warning", "a list's file can't be read; what is known holds", ("file", "why")),
    "no_room": Event("warning", "more transactions than the table holds", ("requests",)),
    "passed_on": Event("debug", "a pool turned one away unseen; its fallback has it", ENDED),
    "pool.gone": Event(
        "info", "a pool that the file no longer has has ended its last transaction", ("pool",)
    ),
    "probe": Event("debug", "a probe ended", ("upstream", "outcome", "ms", "load")),
    "reload.refused": Event("error", "a file was turned down; nothing has changed", ("why", "faults")),
    "reloaded": Event("info", "a file was taken over", ("discovery", "debug", "changes", "passed_over")),
    "rolled_back": Event("info", "a transaction was answered with trying again is harmless", ENDED),
    "share": Event(
        "info", "this balancer's part of a shared limit, by what it is asked", ("route", "part", "asked")
    ),
    "stopping": Event("info", "SIGTERM came", ("held",)),
    "subset": Event(
        "info",
        "the upstreams of a pool that this balancer uses have changed; `by` members, both (a view that may "
        "be cut off and the last sure one), index (self-index) or its own name",
        ("size", "of", "added", "dropped", "by", "balancers"),
    ),
    "switched": Event("info", "other settings are in force", ("held", "kept", "afresh")),
    "unmet": Event("warning", "settings that are read and not acted on", ("settings",)),
    "watch.broken": Event("warning", "the watch of the list said what can't be read", ("why",)),
    "watch.ended": Event(
        "warning", "the watch of the list ended; it is opened again", ("version", "again_in_ms")
    ),
    "watch.silent": Event("warning", "the watch of the list said nothing for too long", ("version",)),
}
CONTEXT = {"pool": "the pool that it is about", "balancer": "this process's name", "at": "the time, UTC"}


TOP = """# Events

Made by `dahliabend events` from `dahliabend/server/log_events.py`. One JSON object a line on standard error,
with `event` and `level`, and where it applies {context}.

| event | level | logged when | fields |
| --- | --- | --- | --- |
"""
END = """
`hops` is the trail of a transaction: of each hop its upstream, its outcome and its milliseconds. `[log]` in
an operator's file sets the least `level`, `sample` by event, and `access`. A balancer that goes by
`PROXY_CONFIG` logs the same events without `level`. Where nobody reads, lines beyond 1 MiB are dropped, and
the next one says how many (`lines_lost`).
"""


def page() -> str:
    """`docs/events.md`."""
    rows = (
        f"| `{name}` | {event.level} | {event.when} | {', '.join(f'`{each}`' for each in event.fields)} |\n"
        for name, event in EVENTS.items()
    )
    context = ", ".join(f"`{name}` ({what})" for name, what in CONTEXT.items())
    return TOP.format(context=context) + "".join(rows) + END
