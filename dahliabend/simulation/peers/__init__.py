"""Who a balancer deals with, as asyncio protocols: on the virtual loop, or unchanged on loopback sockets."""
