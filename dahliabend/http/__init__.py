"""HTTP/1.1 connections to clients, upstreams and operators, and the load reports in responses."""
