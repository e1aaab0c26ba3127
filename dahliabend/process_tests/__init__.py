"""Real processes of the program on loopback, with faults between them, and a witness of what they claim.

Every pair of instances talks through a relay of the rig. Scripts are those of `dahliabend.simulation.cluster`.
"""
