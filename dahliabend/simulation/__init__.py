"""The modelled world: the network code on a virtual clock, faults from scripts, the rules checked as it runs.

`docs/emulator.md` has the design. `python -m dahliabend` without arguments imports nothing of this package.
"""
