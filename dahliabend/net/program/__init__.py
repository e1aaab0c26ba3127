"""Wiring, readiness, signals, log."""
