"""The line number of each key in a TOML file, from its concrete syntax tree."""

import tomllib

import tree_sitter
import tree_sitter_toml

from dahliabend.config.operator_file.source import Key

_GRAMMAR = tree_sitter.Language(tree_sitter_toml.language())


def key_lines(raw: bytes) -> dict[Key, int]:
    r"""Return the line number, from 1, of each key and each list item.

    >>> key_lines(b'a = 1\n[b]\nc.d = [1,\n2]\n[[e]]\nf = {g = 1}\n[[e]]\n')[("b", "c", "d", 1)]
    4
    """
    lines: dict[Key, int] = {}
    item_indices: dict[Key, int] = {}  # index of the last item so far, by the key of its array of tables
    root = tree_sitter.Parser(_GRAMMAR).parse(raw).root_node
    for node in root.children:
        if node.type == "pair":
            _add_pair(node, (), lines)
        elif node.type in ("table", "table_array_element"):
            _add_table(node, lines, item_indices)
    return lines


def _add_table(node: tree_sitter.Node, lines: dict[Key, int], item_indices: dict[Key, int]) -> None:
    key = _resolve_header(_key_parts(node.children[1]), item_indices)
    if node.type == "table_array_element":
        item_indices[key] = item_indices.get(key, -1) + 1
        lines.setdefault(key, _line(node))
        key = (*key, item_indices[key])
    lines.setdefault(key, _line(node))
    for child in node.children:
        if child.type == "pair":
            _add_pair(child, key, lines)


def _resolve_header(names: tuple[str, ...], item_indices: dict[Key, int]) -> Key:
    """Return the key of a table header; a header below an array of tables belongs to its last item."""
    key: Key = ()
    for number, name in enumerate(names):
        key = (*key, name)
        if key in item_indices and number < len(names) - 1:
            key = (*key, item_indices[key])
    return key


def _key_parts(node: tree_sitter.Node) -> tuple[str, ...]:
    """Return the parts of a key, without quotes."""
    if node.type == "dotted_key":
        return tuple(name for child in node.children if child.type != "." for name in _key_parts(child))
    text = (node.text or b"").decode()
    if node.type == "quoted_key":
        return (tomllib.loads(f"key = {text}")["key"],)
    return (text,)


def _add_pair(node: tree_sitter.Node, parent: Key, lines: dict[Key, int]) -> None:
    key = (*parent, *_key_parts(node.children[0]))
    for end in range(len(parent) + 1, len(key) + 1):
        lines.setdefault(key[:end], _line(node))
    _add_value(node.children[-1], key, lines)


def _add_value(node: tree_sitter.Node, key: Key, lines: dict[Key, int]) -> None:
    if node.type == "inline_table":
        for child in node.children:
            if child.type == "pair":
                _add_pair(child, key, lines)
    elif node.type == "array":
        items = [child for child in node.children if child.type not in ("[", "]", ",", "comment")]
        for number, child in enumerate(items):
            lines[(*key, number)] = _line(child)
            _add_value(child, (*key, number), lines)


def _line(node: tree_sitter.Node) -> int:
    return node.start_point.row + 1
