"""The log of a balancer that goes by an operator's file: structlog with orjson, levels, sampling, context.

Lines go into the same bounded buffer as the platform's: a full pipe must not stop the balancer.
"""

import logging
from random import Random

import orjson
import structlog

from dahliabend.config.operator_file import schema
from dahliabend.server.log import Log
from dahliabend.server.log_events import EVENTS

SECRET = {"authorization", "cookie", "set-cookie", "password", "passwd", "secret", "token", "api-key"}
SECRET |= {"x-api-key", "private-key"}
HIDDEN = "***"


def hide(_, __, line: dict) -> dict:
    """A secret is never in a line, at whatever depth a field holds it."""

    def clean(value):
        if isinstance(value, dict):
            return {
                k: HIDDEN if str(k).lower().replace("_", "-") in SECRET else clean(v)
                for k, v in value.items()
            }
        if isinstance(value, list | tuple):
            return [clean(each) for each in value]
        return value

    return clean(line)


def render(value, **_) -> bytes:
    return orjson.dumps(value, default=str, option=orjson.OPT_APPEND_NEWLINE)


class Sink:
    """What structlog writes to."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def put(self, line: bytes) -> None:
        self.log.put(line)

    debug = info = warning = error = put


class StructuredLog(Log):
    """Called as `Log` is. `bind` gives one with more context, into the same buffer."""

    def __init__(self, name: str, sink: int = 2, seed: int = 0) -> None:
        super().__init__(name, sink=sink)
        self.chance = Random(seed).random
        self.sample: dict[str, float] = {}
        self.logger = None
        self.apply_settings(schema.LogSettings())

    def apply_settings(self, settings: schema.LogSettings) -> None:
        self.sample = {name: float(share) for name, share in settings.sample.items()}
        self.verbose = settings.level == "debug"
        self.logger = structlog.wrap_logger(
            Sink(self),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
                hide,
                structlog.processors.JSONRenderer(serializer=render),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, settings.level.upper())),
            cache_logger_on_first_use=False,
        ).bind(balancer=self.name)

    def __call__(self, event: str, **fields) -> None:
        self.say(event, fields)

    def say(self, event: str, fields: dict) -> None:
        known = EVENTS.get(event)
        share = self.sample.get(event, 1.0)
        if share < 1.0 and self.chance() >= share:
            return
        getattr(self.logger, known.level if known is not None else "info")(event, **fields)

    def debug(self, event: str, **fields) -> None:
        self.say(event, fields)

    def bind(self, **context) -> "BoundLog":
        return BoundLog(self, context)


class BoundLog:
    """The same log with fields that stand in each of its lines."""

    def __init__(self, log: StructuredLog, context: dict) -> None:
        self.log, self.context = log, context

    def __call__(self, event: str, **fields) -> None:
        self.log.say(event, self.context | fields)

    debug = __call__
