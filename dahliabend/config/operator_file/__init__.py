"""The operator's file: read with its places, typed, checked against the rules, shown and compared.

`docs/routes.md` is its page. It compiles to what stands in `schema`; another language could, too.
"""
