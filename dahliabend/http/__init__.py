"""HTTP/1.1 to clients, upstreams and operators, and the load reports that it carries."""
