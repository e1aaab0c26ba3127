"""Reading, decoding and checking of configuration: the platform's JSON file and the operator's TOML file.

The platform is the system that runs balancers: it starts their processes with environment variables and, if
they share a listening socket, an inherited descriptor; opens connections to them; and ends them by signals.
"""
