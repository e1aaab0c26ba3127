"""Real processes of the program on loopback, with faults between them, and a recorder of what they claim.

Every pair of instances talks through a fault proxy. Scripts are those of
`dahliabend.simulation.cluster`.
"""
