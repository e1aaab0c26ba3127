"""The running process: it owns all that runs, wires it together, and handles signals, reload and shutdown."""
