"""The checker's messages for operator files with one generated fault each, compared with golden text."""

from corpus import FAULTS, generate_operator_files
from golden_files import read_golden, write_golden

from dahliabend.routing_rules import loaded_file

GOLDEN = "checker_corpus_messages.txt"


def produce() -> str:
    """Return the messages for one file with each fault, and for the valid file before it."""
    lines = []
    for seed in range(2 * len(FAULTS)):
        files = generate_operator_files(seed)
        plan = loaded_file.load_file("file.toml", environment={}, read=files.read)
        lines += [f"seed {seed}: {'usable' if plan.has_no_faults else 'refused'}", *map(str, plan.faults)]
    return "\n".join(lines) + "\n"


def test_messages_with_file_line_key_and_reason_equal_the_golden_text() -> None:
    assert produce() == read_golden(GOLDEN)


if __name__ == "__main__":
    write_golden(GOLDEN, produce())
