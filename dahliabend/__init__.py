"""dahliabend: a load balancer for services that call services."""

__version__ = "0.2.0"
