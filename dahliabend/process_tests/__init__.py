"""Tests of real processes on loopback, with faults between them, and checks of what they report.

Each pair of instances communicates through a fault proxy. The scripts are those of
`dahliabend.simulation.cluster`.
"""
