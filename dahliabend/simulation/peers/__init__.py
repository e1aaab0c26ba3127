"""The peers of the network code: clients, upstreams, discovery and operators, on any asyncio event loop.

They run on the virtual event loop of a simulation, and on real sockets in `dahliabend.process_tests`.
"""

from collections.abc import Callable

# Called with the kind and the values of an event: a `Recorder` of a simulation, or what stands for one.
RecordEvent = Callable[..., None]
