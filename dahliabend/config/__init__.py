"""Reading, decoding and checking of configuration: the platform's JSON file and the operator's TOML file."""
