"""Flows whose upstream travels as a tag in each packet.

The fabric returns the tag that a host wrote into an opening packet on every
later packet of the flow, so no host needs a record of the flow.
"""
