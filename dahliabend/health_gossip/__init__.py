"""Exchange of reports about the health of upstreams between balancers, and their evaluation.

`local_observations` counts the outcomes of this balancer's attempts, `reports` defines the messages,
`report_table` keeps the latest report of each origin, and `aggregation` derives from them which upstreams are
suspected. `gossip` exchanges the reports; its owner sends and receives the
datagrams, as the package does no I/O.
"""
