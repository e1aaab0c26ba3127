"""Tests of real processes on the loopback interface with injected faults, and checks of their reports.

The instances exchange datagrams through a fault proxy. The scripts are those of
`dahliabend.simulation.cluster`.
"""
