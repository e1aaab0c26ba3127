"""Simulation of the balancer's program on a virtual clock, with scripted faults and checks of invariants.

`docs/emulator.md` has the design. `python -m dahliabend` without arguments imports nothing of this package.
"""
