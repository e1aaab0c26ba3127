"""Loading an operator's file for a server; a file with any fault is rejected as a whole."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from importlib.util import find_spec

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Key, Source, format_key
from dahliabend.errors import DahliabendError
from dahliabend.http.headers import MAX_BODY_BYTES
from dahliabend.routing_rules.loaded_file import LoadedFile, load_file
from dahliabend.routing_rules.removed_keys import removed_key_faults
from dahliabend.server.server import Address
from dahliabend.transport import host_info

CLIENT_LISTENER = "callers"  # names of the listeners in the file
ADMIN_LISTENER = "operators"


class InvalidOperatorFileError(DahliabendError, ValueError):
    """An operator's file has faults or requires a library that is not installed.

    Attributes:
        faults: All faults of the file; the text of each names the file, line and key.
    """

    def __init__(self, faults: Iterable[object]) -> None:
        self.faults = list(faults)
        super().__init__("; ".join(map(str, self.faults)))


@dataclass(frozen=True, slots=True)
class UsableFile:
    """An operator's file without faults.

    Attributes:
        loaded: The loaded file, with the line of each key.
        file: The file's settings.
    """

    loaded: LoadedFile
    file: OperatorFile


def load_usable_file(path: str, environment: Mapping[str, str]) -> UsableFile:
    """Read and check a file.

    Args:
        path: The path of the file.
        environment: The environment variables that the file may refer to.

    Raises:
        InvalidOperatorFileError: The file has faults or requires a library that is not installed.
    """
    loaded = load_file(path, environment=environment, read=host_info.read_file)
    if loaded.file is None or not loaded.has_no_faults:
        raise InvalidOperatorFileError(loaded.faults)
    _check_required_libraries(loaded.file, loaded.source)
    return UsableFile(loaded, loaded.file)


def reload_usable_file(path: str, environment: Mapping[str, str], in_force: UsableFile) -> UsableFile:
    """Read and check a file that is to replace the one in force.

    Args:
        path: The path of the file.
        environment: The environment variables that the file may refer to.
        in_force: The file in force.

    Raises:
        InvalidOperatorFileError: The file has faults, requires a library that is not installed, or lacks a
            key of the file in force whose default would loosen a rule.
    """
    usable = load_usable_file(path, environment)
    faults = removed_key_faults(in_force.loaded.source, usable.loaded.source)
    if faults:
        raise InvalidOperatorFileError(faults)
    return usable


def listener_address(file: OperatorFile, name: str) -> Address | None:
    """Return the address of a listener; None if the file does not configure it."""
    listener = file.listeners.get(name)
    return parse_address(listener.address) if listener is not None else None


def unsupported_keys(file: OperatorFile) -> Iterator[str]:
    """Yield the keys of settings that are accepted but have no effect."""
    for name, request_class in file.classes.items():
        if request_class.longest_body != MAX_BODY_BYTES:
            yield f"classes.{name}.longest-body"


@dataclass(frozen=True, slots=True)
class _OptionalLibrary:
    """A library that a key of the file requires, and the optional dependency group that installs it."""

    key: Key
    name: str
    group: str


def _check_required_libraries(file: OperatorFile, source: Source) -> None:
    """Reject a file that requires a missing library; a failed import later would leave it half applied."""
    for library in _required_libraries(file):
        if find_spec(library.name) is None:
            place = source.place(library.key)
            command = f"pip install 'dahliabend[{library.group}]'"
            reason = f"{library.name} is missing: {command}"
            raise InvalidOperatorFileError(
                [f"{place.file}:{place.line}: {format_key(library.key)}: {reason}"]
            )


def _required_libraries(file: OperatorFile) -> Iterator[_OptionalLibrary]:
    if file.members is not None:
        yield _OptionalLibrary(("members",), "cryptography", "members")
    for name, pool in file.pools.items():
        if pool.subset is not None:
            yield _OptionalLibrary(("pools", name, "subset"), "numpy", "subsets")
