"""Versions of the endpoint list: which messages are applied and which are ignored."""

import pytest
from fake_transport import ignore

from dahliabend.discovery.endpoint_list import EndpointList


def test_changes_already_applied_are_ignored_but_a_full_list_never_is():
    class RecordingObserver(list):
        def endpoints_changed(self, entries, full):
            self.append([list_entry[0] for list_entry in entries])

    observer = RecordingObserver()
    endpoint_list = EndpointList(observer, ignore)

    def apply(version, full, first, name):
        server = {"id": name, "addr": "127.0.0.1:1", "state": "up"}
        endpoint_list.apply({"version": version, "full": full, "servers": [server, {"state": "?"}]}, first)

    for fields in (
        (4, True, True, "a"), (4, False, False, "b"), (4, False, True, "b"), (5, False, False, "c"),
        (3, True, False, "d"), (4, False, False, "e"), (3, False, False, "b"), (1, True, True, "f"),
        (2, False, False, "g"),
    ):  # fmt: skip
        apply(*fields)
    assert observer == [["a"], ["c"], ["d"], ["e"], ["f"], ["g"]]
    assert endpoint_list.version == 2
    # The first message of a watch has an older version than the applied one: the versions were restarted.
    with pytest.raises(ValueError, match="its count began anew"):
        apply(1, False, True, "h")
    apply(1, False, True, "i")  # the next watch starts without a version
    assert observer[-1] == ["i"]
    assert endpoint_list.version == 1
