"""The balancer on sockets. Layers import downwards only: program, routing, protocol, transport."""
