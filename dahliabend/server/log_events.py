"""The events that a balancer logs, with their levels and fields; `docs/events.md` is generated from them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A type of event.

    Attributes:
        level: `debug`, `info`, `warning` or `error`.
        when: The condition under which the event is logged, as described in `docs/events.md`.
        fields: The names of its fields, without those of `CONTEXT`.
    """

    level: str
    when: str
    fields: tuple[str, ...]


REQUEST_FIELDS = (
    "trace_id",
    "request_class",
    "route",
    "attempts",
    "attempts_in_flight",
    "duration_ms",
)  # of the events for a finished request
EVENTS = {
    "admin.called": LogEvent(
        "info", "an operator called, and it changed something or failed", ("method", "path", "status")
    ),
    "attempt.failed": LogEvent(
        "info",
        "an attempt did not succeed",
        ("trace_id", "attempt_index", "upstream", "outcome", "duration_ms", "reason"),
    ),
    "connection.closed": LogEvent(
        "info",
        "this process closed the connection of a client whose request had begun or waited for its response",
        ("reason", "state", "queued_requests", "reserved_bytes"),
    ),
    "demand.reported": LogEvent(
        "info", "this balancer tells the others how many requests it gets", ("weight",)
    ),
    "endpoint_file.read_failed": LogEvent(
        "warning", "a list's file can't be read; the list stays as it is", ("file", "reason")
    ),
    "endpoint_list.applied": LogEvent(
        "info", "a list of upstreams, or a change of it, was applied", ("version", "full", "entries")
    ),
    "endpoint_list.entry_skipped": LogEvent(
        "warning", "an entry of the list can't be read and is skipped", ("reason", "entry")
    ),
    "exception.unhandled": LogEvent(
        "error", "a fault of the program itself: report it", ("message", "reason")
    ),
    "health_check.finished": LogEvent(
        "debug", "a health check ended", ("upstream", "outcome", "duration_ms", "load")
    ),
    "hot_restart.read_failed": LogEvent("warning", "what another process wrote can't be read", ("reason",)),
    "hot_restart.resumed": LogEvent(
        "info", "a process took over from the one before it", ("restored", "upstreams")
    ),
    "hot_restart.state_written": LogEvent("info", "the state was written for a successor", ("successor",)),
    "hot_restart.unavailable": LogEvent(
        "warning", "there is no directory to share; an upgrade starts with no state", ("reason",)
    ),
    "hot_restart.write_failed": LogEvent(
        "warning", "a file for another process could not be written", ("reason",)
    ),
    "lease.acquired": LogEvent(
        "info",
        "this balancer holds a lease from now on; `rank` 0: it is the first in the order of candidates",
        ("task", "fencing_token", "rank"),
    ),
    "limit_share.changed": LogEvent(
        "info", "this balancer's share of a shared limit, by its demand", ("route", "share", "demand")
    ),
    "memory.limited": LogEvent(
        "info",
        "the memory limit is known, and how much of it peers may use (bytes)",
        ("limit", "baseline", "capacity", "max_connections"),
    ),
    "memory.relieved": LogEvent(
        "warning",
        "the process came close to its memory limit: slow peers were rejected or closed (bytes)",
        ("resident", "reserved", "reserved_now", "unaccounted"),
    ),
    "member.changed": LogEvent(
        "info",
        "the state of one balancer changed: joined, suspected, refuted, left, died, returned; "
        "unreached and reached (that one from here), conflict (one name twice), paused (it "
        "was away itself), outcast and counted (it itself, by the others)",
        ("change", "member", "reported_by", "incarnation"),
    ),
    "membership.metrics_reported": LogEvent(
        "info",
        "every 5 s, where the file has [members]",
        (
            "version",
            "checksum",
            "members",
            "suspected",
            "stable",
            "possibly_partitioned",
            "exclusion",
            "time_since_contact_ms",
            "confidence",
            "health_score",
            "datagrams_sent",
            "bytes_sent",
            "datagrams_received",
            "bytes_received",
            "datagrams_dropped",
        ),
    ),
    "membership.opened": LogEvent(
        "info",
        "it communicates with the other balancers",
        ("name", "address", "advertise", "generation", "resumed"),
    ),
    "metrics.reported": LogEvent(
        "info",
        "every 5 s, for each pool where there are some",
        (
            "counts",
            "requests_in_flight",
            "connections",
            "attempts_in_flight",
            "concurrency_limit",
            "reduction",
            "ready",
            "selected",
            "ejected",
            "retired",
        ),
    ),
    "pool.removed": LogEvent(
        "info", "a pool that the file no longer has has ended its last request", ("pool",)
    ),
    "reload.applied": LogEvent(
        "info", "a file was applied", ("discovery", "debug", "changes", "restart_required")
    ),
    "reload.rejected": LogEvent("error", "a file was refused; nothing has changed", ("reason", "faults")),
    "request.client_disconnected": LogEvent(
        "info", "a client disconnected before its response", REQUEST_FIELDS
    ),
    "request.failed": LogEvent("info", "a request was answered as failed", REQUEST_FIELDS),
    "request.finished": LogEvent(
        "info",
        "a request has its response; off by default",
        ("trace_id", "outcome", "request_class", "route", "attempts", "duration_ms"),
    ),
    "request.rejected": LogEvent(
        "info", "a request was rejected: it was not executed, and a retry is harmless", REQUEST_FIELDS
    ),
    "request.sent_to_fallback": LogEvent(
        "debug", "a pool rejected a request unsent; its fallback has it", REQUEST_FIELDS
    ),
    "request.succeeded": LogEvent("debug", "never by itself: see `request.finished`", REQUEST_FIELDS),
    "request.truncated": LogEvent(
        "warning", "a response that had begun could not be finished", REQUEST_FIELDS
    ),
    "request.refused_for_memory": LogEvent(
        "info", "a request was rejected before its admission, as too much memory is held", ("trace_id",)
    ),
    "request.repeated_id": LogEvent(
        "info",
        "a request was refused (409): one with its id is open, or may have run in the last 10 s",
        ("trace_id",),
    ),
    "request.shed": LogEvent(
        "info",
        "a request was rejected while it was received, as too much memory is held",
        ("target", "reserved_bytes"),
    ),
    "request_table.exhausted": LogEvent("warning", "more requests than the table holds", ("requests",)),
    "resources.reported": LogEvent(
        "info",
        "every 5 s: what the process holds in memory, for whom; the longest turn of its event loop; "
        "connections closed, by reason",
        (
            "resident_bytes",
            "reserved_bytes",
            "unaccounted_bytes",
            "reserved_by",
            "relieved",
            "longest_iteration_ms",
            "closed",
        ),
    ),
    "server.start_failed": LogEvent("error", "it could not start", ("reason",)),
    "server.started": LogEvent("info", "clients are accepted", ("address", "entry_tier", "pools")),
    "server.stopped": LogEvent("info", "the process ends in order", ("counts",)),
    "settings.applied": LogEvent(
        "info", "other settings are in force", ("requests_in_flight", "restored", "new")
    ),
    "settings.ignored": LogEvent("warning", "settings that are read and not acted on", ("settings",)),
    "shutdown.started": LogEvent("info", "SIGTERM came", ("requests_in_flight",)),
    "subset.changed": LogEvent(
        "info",
        "the upstreams of a pool that this balancer uses have changed; `source` members, both "
        "(a view that may be partitioned and the last trusted one), index (self-index) or its "
        "own name",
        ("size", "listed", "added", "dropped", "source", "balancers"),
    ),
    "upstream.excluded": LogEvent("info", "an operator took an upstream out", ("upstream",)),
    "upstream.included": LogEvent("info", "an operator put an upstream back", ("upstream",)),
    "upstream.suspected": LogEvent(
        "info",
        "several other balancers report that an upstream fails; counted like attempts of this one",
        ("pool", "upstream", "origins"),
    ),
    "watch.broken": LogEvent("warning", "the watch of the list sent what can't be read", ("reason",)),
    "watch.ended": LogEvent(
        "warning", "the watch of the list ended; it is opened again", ("version", "retry_in_ms")
    ),
    "watch.timed_out": LogEvent("warning", "the watch of the list sent nothing for too long", ("version",)),
}
# Event names until version 0.2; `log.sample` in operators' files still accepts them.
EVENTS_BY_FORMER_NAME = {
    "abandoned": "request.failed",
    "access": "request.finished",
    "call": "admin.called",
    "believed": "upstream.suspected",
    "committed": "request.succeeded",
    "cut": "request.truncated",
    "demand": "demand.reported",
    "duty": "lease.acquired",
    "ended": "server.stopped",
    "error": "exception.unhandled",
    "excluded": "upstream.excluded",
    "failed": "server.start_failed",
    "figures": "metrics.reported",
    "followed": "hot_restart.resumed",
    "handed_over": "hot_restart.state_written",
    "handover.none": "hot_restart.unavailable",
    "handover.unread": "hot_restart.read_failed",
    "handover.unwritten": "hot_restart.write_failed",
    "hop": "attempt.failed",
    "included": "upstream.included",
    "left": "request.client_disconnected",
    "list": "endpoint_list.applied",
    "list.bad_entry": "endpoint_list.entry_skipped",
    "listening": "server.started",
    "member": "member.changed",
    "members.figures": "membership.metrics_reported",
    "members.open": "membership.opened",
    "members.unread": "endpoint_file.read_failed",
    "no_room": "request_table.exhausted",
    "passed_on": "request.sent_to_fallback",
    "pool.gone": "pool.removed",
    "probe": "health_check.finished",
    "reload.refused": "reload.rejected",
    "reloaded": "reload.applied",
    "rolled_back": "request.rejected",
    "share": "limit_share.changed",
    "stopping": "shutdown.started",
    "subset": "subset.changed",
    "switched": "settings.applied",
    "unmet": "settings.ignored",
    "watch.silent": "watch.timed_out",
}
CONTEXT = {"pool": "the pool that it is about", "balancer": "this process's name", "at": "the time, UTC"}


PAGE_HEAD = """# Events

Made by `dahliabend events` from `dahliabend/server/log_events.py`. One JSON object a line on standard error,
with `event` and `level`, and where it applies {context}.

| event | level | logged when | fields |
| --- | --- | --- | --- |
"""
PAGE_END = """
`attempts` lists the attempts of a request: of each its upstream, its outcome and its milliseconds. `[log]` in
an operator's file sets the least `level`, `sample` by event, and `access` (a line `request.finished` for each
request). `sample` also accepts the names that events had until version 0.2 (`docs/on-call.md` has both). None
of the operators' pages reads a name of an event or of a field. A balancer that is configured by
`PROXY_CONFIG` logs the same events without `level`. Where nobody reads, lines beyond 1 MiB are dropped, and
the next one says how many (`lines_lost`).
"""


def page() -> str:
    """Return the text of `docs/events.md`."""
    rows = (
        f"| `{name}` | {event.level} | {event.when} | {', '.join(f'`{field}`' for field in event.fields)} |\n"
        for name, event in EVENTS.items()
    )
    context = ", ".join(f"`{name}` ({meaning})" for name, meaning in CONTEXT.items())
    return PAGE_HEAD.format(context=context) + "".join(rows) + PAGE_END
