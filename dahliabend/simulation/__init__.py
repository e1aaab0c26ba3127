"""Simulation of the network code on a virtual clock, with scripted faults and run-time invariant checks.

`docs/emulator.md` has the design. `python -m dahliabend` without arguments imports nothing of this package.
"""
