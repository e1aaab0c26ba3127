"""Every decision on which endpoint gets a request, whether to retry it and what to reject."""
