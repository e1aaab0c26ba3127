"""Configuration: the platform's JSON file and the operator's TOML file, read, typed and checked."""
