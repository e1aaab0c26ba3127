"""Fleets of balancers that speak with each other: scripts, what was so, what each claimed, and the machines
on a modelled network. `dahliabend.process_tests` plays the same scripts with real processes.
"""
