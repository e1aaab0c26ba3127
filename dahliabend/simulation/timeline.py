"""Formats the time line of a run as text, one line per event. Users read this text, so it must not change."""

from collections.abc import Iterable, Iterator

from dahliabend.simulation.recorder import Event

MICROSECONDS_PER_SECOND = 1e6
MAX_BYTES_TEXT = 60  # characters shown of a bytes value
EVENT_FORMATS = {
    "asked": "{0}: {1} asked on connection {2}, for {3} us",
    "written": "{0}: its last byte is written",
    "answer": "{0}: answered {1}",
    "began": "{0}: a long answer begins",
    "cut": "{0}: the answer ends before it is whole",
    "extra": "{0}: more than one answer: {1}",
    "lost": "{0}: no answer, the connection was {1}",
    "left": "{0}: its caller leaves",
    "spoilt": "{0}: an answer that can't be read: {1}",
    "hop.head": "{0}: {1} begins to send it to {2} on connection {3}",
    "hop.whole": "{0}: {1} has written its last byte to {2}",
    "begun": "{0}: has come whole to {1}",
    "unrun": "{0}: {1} turns it away, it never ran",
    "effect": "{0}: runs at {1}",
    "made": "{0}: its answer is made, {1}",
    "done": "{0}: {1} answers {3}",
    "told": "{0} is told that {1} is {2}",
    "said": "{0}: the operators' {1} is answered {2}",
    "yes": "{0}: yes to {1} {2}",
    "starts": "{0} starts",
    "listening": "{0} takes callers",
    "ended": "{0} has ended: {1}",
    "stalled": "{0} stands still for {1} us",
    "fault": "FAULT {0} ({1})",
    "fault.over": "FAULT {0} is over",
    "toppled": "{0} fell over, sent {1:.1f} times what it bears",
    "crashed": "{0} crashed: {1}",
    "log": "{0} logs {1} {2}",
}


def lines(events: Iterable[Event], about: str = "") -> Iterator[str]:
    """Yield the text of events.

    Args:
        events: the events to format.
        about: a trace id, a process or an upstream: only events with this value, and faults, are formatted;
            empty: all events.
    """
    for at, event_kind, *values in events:
        if about and not event_kind.startswith("fault") and not any(about == str(value) for value in values):
            continue
        shown = [repr(v)[:MAX_BYTES_TEXT] if isinstance(v, bytes) else v for v in values]
        text = (
            EVENT_FORMATS[event_kind].format(*shown)
            if event_kind in EVENT_FORMATS
            else f"{event_kind} {shown}"
        )
        yield f"{at / MICROSECONDS_PER_SECOND:12.6f}  {text}"
