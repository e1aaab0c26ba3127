"""Transactions and hops on their connections: the port of the decisions on sockets. It decides nothing."""
