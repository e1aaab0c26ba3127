"""Every event that a balancer logs: its level, occasion and fields. `docs/events.md` is made of it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One kind of event.

    Attributes:
        level: `debug`, `info`, `warning` or `error`.
        when: The occasion on which it is logged, as the page of events describes it.
        fields: Names of its fields, beside those of `CONTEXT`.
    """

    level: str
    when: str
    fields: tuple[str, ...]


REQUEST_FIELDS = ("tx", "profile", "route", "hops", "out", "ms")  # of a request that has ended
EVENTS = {
    "abandoned": LogEvent("info", "a request was answered as failed", REQUEST_FIELDS),
    "access": LogEvent(
        "info",
        "a request has its response; off by default",
        ("tx", "how", "profile", "route", "hops", "ms"),
    ),
    "call": LogEvent(
        "info", "an operator called, and it changed something or failed", ("method", "path", "status")
    ),
    "believed": LogEvent(
        "info",
        "several other balancers report that an upstream fails; counted like attempts of this one",
        ("pool", "upstream", "origins"),
    ),
    "committed": LogEvent("debug", "never by itself: see access", REQUEST_FIELDS),
    "cut": LogEvent("warning", "a response that had begun could not be finished", REQUEST_FIELDS),
    "demand": LogEvent("info", "this balancer tells the others how many requests it gets", ("weight",)),
    "duty": LogEvent(
        "info",
        "this balancer holds a lease from now on; `place` 0: it is the first in the order of candidates",
        ("duty", "fence", "place"),
    ),
    "ended": LogEvent("info", "the process ends in order", ("counts",)),
    "error": LogEvent("error", "a fault of the program itself: report it", ("what", "why")),
    "excluded": LogEvent("info", "an operator took an upstream out", ("upstream",)),
    "failed": LogEvent("error", "it could not start", ("why",)),
    "figures": LogEvent(
        "info",
        "every 5 s, for each pool where there are some",
        ("counts", "held", "connections", "out", "crowd", "tier", "ready", "using", "aside", "retired"),
    ),
    "followed": LogEvent("info", "a process took over from the one before it", ("kept", "upstreams")),
    "handed_over": LogEvent("info", "the state was written for a successor", ("to",)),
    "handover.none": LogEvent(
        "warning", "there is no directory to share; an upgrade starts with no state", ("why",)
    ),
    "handover.unread": LogEvent("warning", "what another process wrote can't be read", ("why",)),
    "handover.unwritten": LogEvent(
        "warning", "a file for another process could not be written", ("why",)
    ),
    "hop": LogEvent(
        "info", "an attempt did not succeed", ("tx", "order", "upstream", "outcome", "ms", "why")
    ),
    "included": LogEvent("info", "an operator put an upstream back", ("upstream",)),
    "left": LogEvent("info", "a client disconnected before its response", REQUEST_FIELDS),
    "list": LogEvent(
        "info", "a list of upstreams, or a change of it, was applied", ("version", "full", "entries")
    ),
    "list.bad_entry": LogEvent(
        "warning", "an entry of the list can't be read and is skipped", ("why", "entry")
    ),
    "listening": LogEvent("info", "clients are accepted", ("address", "entrance", "pools")),
    "member": LogEvent(
        "info",
        "the state of one balancer changed: joined, suspected, refuted, left, died, returned; unreached "
        "and reached (that one from here), conflict (one name twice), paused (it was away itself), outcast "
        "and counted (it itself, by the others)",
        ("change", "member", "by", "incarnation"),
    ),
    "members.figures": LogEvent(
        "info",
        "every 5 s, where the file has [members]",
        (
            "version", "mark", "members", "suspected", "stable", "cut", "outcast", "age_ms", "confidence",
            "doubt", "sent", "sent_bytes", "come", "come_bytes", "dropped",
        ),
    ),
    "members.open": LogEvent(
        "info",
        "it communicates with the other balancers",
        ("name", "address", "advertise", "life", "resumed"),
    ),
    "members.unread": LogEvent(
        "warning", "a list's file can't be read; the list stays as it is", ("file", "why")
    ),
    "no_room": LogEvent("warning", "more requests than the table holds", ("requests",)),
    "passed_on": LogEvent("debug", "a pool rejected a request unsent; its fallback has it", REQUEST_FIELDS),
    "pool.gone": LogEvent(
        "info", "a pool that the file no longer has has ended its last request", ("pool",)
    ),
    "probe": LogEvent("debug", "a health check ended", ("upstream", "outcome", "ms", "load")),
    "reload.refused": LogEvent("error", "a file was refused; nothing has changed", ("why", "faults")),
    "reloaded": LogEvent("info", "a file was applied", ("discovery", "debug", "changes", "passed_over")),
    "rolled_back": LogEvent(
        "info", "a request was rejected: it was not executed, and a retry is harmless", REQUEST_FIELDS
    ),
    "share": LogEvent(
        "info", "this balancer's share of a shared limit, by its demand", ("route", "part", "asked")
    ),
    "stopping": LogEvent("info", "SIGTERM came", ("held",)),
    "subset": LogEvent(
        "info",
        "the upstreams of a pool that this balancer uses have changed; `by` members, both (a view that may "
        "be partitioned and the last trusted one), index (self-index) or its own name",
        ("size", "of", "added", "dropped", "by", "balancers"),
    ),
    "switched": LogEvent("info", "other settings are in force", ("held", "kept", "afresh")),
    "unmet": LogEvent("warning", "settings that are read and not acted on", ("settings",)),
    "watch.broken": LogEvent("warning", "the watch of the list sent what can't be read", ("why",)),
    "watch.ended": LogEvent(
        "warning", "the watch of the list ended; it is opened again", ("version", "again_in_ms")
    ),
    "watch.silent": LogEvent("warning", "the watch of the list sent nothing for too long", ("version",)),
}  # fmt: skip
CONTEXT = {"pool": "the pool that it is about", "balancer": "this process's name", "at": "the time, UTC"}


PAGE_HEAD = """# Events

Made by `dahliabend events` from `dahliabend/server/log_events.py`. One JSON object a line on standard error,
with `event` and `level`, and where it applies {context}.

| event | level | logged when | fields |
| --- | --- | --- | --- |
"""
PAGE_END = """
`hops` lists the attempts of a request: of each its upstream, its outcome and its milliseconds. `[log]` in
an operator's file sets the least `level`, `sample` by event, and `access`. A balancer that is configured by
`PROXY_CONFIG` logs the same events without `level`. Where nobody reads, lines beyond 1 MiB are dropped, and
the next one says how many (`lines_lost`).
"""


def page() -> str:
    """Return `docs/events.md`."""
    rows = (
        f"| `{name}` | {event.level} | {event.when} | {', '.join(f'`{field}`' for field in event.fields)} |\n"
        for name, event in EVENTS.items()
    )
    context = ", ".join(f"`{name}` ({meaning})" for name, meaning in CONTEXT.items())
    return PAGE_HEAD.format(context=context) + "".join(rows) + PAGE_END
