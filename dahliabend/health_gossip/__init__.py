"""What instances tell each other about the health of upstreams, and how they weigh it. Free of I/O.

`local_observations` counts outcomes seen by this instance, `reports` has the messages, `report_table` keeps
the latest report of each origin, `aggregation` weighs them, and `gossip` exchanges them; a driver moves its
datagrams.
"""
