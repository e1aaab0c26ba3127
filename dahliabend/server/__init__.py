"""The server process: creates and wires its components, and handles signals, reloads and shutdown."""
