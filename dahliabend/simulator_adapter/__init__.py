"""Adapter between the simulator's wire protocol and the balancing policy: codec and instance host.

It decodes batches of records, passes them to the policy and encodes the policy's actions. It takes no
balancing decision itself.
"""
