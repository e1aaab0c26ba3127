"""The operator's file: reading with line numbers, and decoding to the structs in `schema`.

`docs/routes.md` describes the file. Nothing beyond `schema` depends on its syntax, TOML.
"""
