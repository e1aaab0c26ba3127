"""The peers of the balancer: clients, upstreams, discovery and operators.

They run on any asyncio event loop: on the virtual one of a simulation, and on real sockets in
`dahliabend.process_tests`.
"""

from collections.abc import Callable

# Called with the kind and the values of an event: a simulation's `Recorder` or a substitute for it.
RecordEvent = Callable[..., None]
