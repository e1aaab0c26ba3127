"""Load reports, as answers and probes carry them."""


def read(text: bytes, fields: tuple[str, ...]) -> dict[str, float]:
    """The named figures of a report; what is not named, or no number, is passed over.

    >>> read(b"TEXT inflight=7, queue=x, util=0.61, more", ("inflight", "queue", "util"))
    {'inflight': 7.0, 'util': 0.61}
    """
    figures = {}
    for part in text.strip().removeprefix(b"TEXT").decode("ascii", "replace").split(","):
        name, _, value = part.strip().partition("=")
        if name in fields:
            try:
                figures[name] = float(value)
            except ValueError:
                continue
    return figures
