"""Endpoint discovery: the watch that keeps the endpoint list current."""
