"""The event log of a balancer with an operator's file: structlog with orjson, levels, sampling and context.

Lines go into the bounded buffer of the base class: a full pipe must not block the balancer.
"""

import logging
from collections.abc import Mapping, MutableMapping
from random import Random
from typing import Any

import orjson
import structlog

from dahliabend.config.operator_file import schema
from dahliabend.server.log import STANDARD_ERROR, EventLog, Log
from dahliabend.server.log_events import EVENTS, EVENTS_BY_FORMER_NAME

SECRET_FIELDS = frozenset(
    (
        "authorization", "cookie", "set-cookie", "password", "passwd", "secret", "token", "api-key",
        "x-api-key", "private-key",
    )
)  # fmt: skip
REDACTED = "***"
DEFAULT_LEVEL = "info"  # of an event that is missing from `EVENTS`


def redact_fields(fields: Mapping[str, object]) -> dict[str, object]:
    """Return the fields with the values of `SECRET_FIELDS` replaced, at any depth."""
    return {
        key: REDACTED if str(key).lower().replace("_", "-") in SECRET_FIELDS else redact(item)
        for key, item in fields.items()
    }


def redact(value: object) -> object:
    """Return a field's value with the secrets inside it replaced."""
    if isinstance(value, dict):
        return redact_fields(value)
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    return value


def redact_line(_logger: object, _method: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Redact the secrets of a line, as a structlog processor."""
    return redact_fields(line)


def render_json(line: object, **_options: object) -> bytes:
    """Encode a line as JSON, as a structlog serializer."""
    return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)


class LineSink:
    """The logger that structlog passes encoded lines to, with one method for each level."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def put(self, line: bytes) -> None:
        """Append a line to the log's buffer."""
        self.log.put(line)

    debug = put
    info = put
    warning = put
    error = put


class StructuredLog(Log):
    """An event log with levels, sampling and context, with the interface of `Log`."""

    def __init__(self, name: str, sink: int = STANDARD_ERROR, seed: int = 0) -> None:
        """Create a log with the default settings.

        Args:
            name: The balancer's name, which is in each line.
            sink: The file descriptor to write to.
            seed: The seed of the random numbers for sampling.
        """
        super().__init__(name, sink=sink)
        self.random = Random(seed).random
        self.sample_rates: dict[str, float] = {}
        self.logger: Any = None
        self.apply_settings(schema.LogSettings())

    def apply_settings(self, settings: schema.LogSettings) -> None:
        """Set the level and the sampling rates of the following events."""
        self.sample_rates = {
            EVENTS_BY_FORMER_NAME.get(event, event): float(rate) for event, rate in settings.sample.items()
        }
        self.verbose = settings.level == "debug"
        self.logger = structlog.wrap_logger(
            LineSink(self),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
                redact_line,
                structlog.processors.JSONRenderer(serializer=render_json),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, settings.level.upper())),
            cache_logger_on_first_use=False,
        ).bind(balancer=self.name)

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields, at the event's own level."""
        self.log_event(event, fields)

    def log_event(self, event: str, fields: dict[str, object]) -> None:
        """Log an event unless sampling drops it."""
        sample_rate = self.sample_rates.get(event, 1.0)
        if sample_rate < 1.0 and self.random() >= sample_rate:
            return
        event_type = EVENTS.get(event)
        level = event_type.level if event_type is not None else DEFAULT_LEVEL
        getattr(self.logger, level)(event, **fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event of detail like any other event, at its own level."""
        self.log_event(event, fields)

    def bind(self, **context: object) -> "BoundLog":
        """Return a log with the same buffer that adds these fields to each line."""
        return BoundLog(self, context)


class BoundLog:
    """A view of a structured log that adds context fields to each line."""

    def __init__(self, log: StructuredLog, context: dict[str, object]) -> None:
        self.log = log
        self.context = context

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields and the context."""
        self.log.log_event(event, self.context | fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event of detail like any other event, with its fields and the context, at its own level."""
        self.log.log_event(event, self.context | fields)


def bind_pool(log: EventLog, pool: str) -> EventLog:
    """Return a log that adds the pool's name to each line; the same log if it has no context."""
    return log.bind(pool=pool) if isinstance(log, StructuredLog) else log
