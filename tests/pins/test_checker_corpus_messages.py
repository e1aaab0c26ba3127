"""The checker's messages for operators' files with one planted fault of each kind, against golden text."""

from corpus import FAULTS, generate_operator_files
from golden_files import read_golden, write_golden

from dahliabend.routing_rules import loaded_file

GOLDEN = "checker_corpus_messages.txt"


def produce() -> str:
    """The messages for one file of each kind of fault, and for the sound file before it."""
    lines = []
    for seed in range(2 * len(FAULTS)):
        made = generate_operator_files(seed)
        plan = loaded_file.load_file("file.toml", environment={}, read=made.read)
        lines += [f"seed {seed}: {'usable' if plan.has_no_faults else 'refused'}", *map(str, plan.faults)]
    return "\n".join(lines) + "\n"


def test_messages_name_file_line_key_and_reason_exactly_as_before() -> None:
    assert produce() == read_golden(GOLDEN)


if __name__ == "__main__":
    write_golden(GOLDEN, produce())
