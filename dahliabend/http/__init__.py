"""What the bytes mean: HTTP to callers and upstreams, the list of upstreams, load reports."""
