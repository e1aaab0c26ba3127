"""Versions of the endpoint list."""

import pytest
from fake_transport import ignore

from dahliabend.discovery.endpoint_list import EndpointList


def test_known_changes_are_ignored_but_never_a_full_list():
    class EndpointListObserver(list):
        def endpoints_changed(self, rows, full):
            self.append([row[0] for row in rows])

    observer = EndpointListObserver()
    endpoint_list = EndpointList(observer, ignore)

    def read(version, full, first, name):
        server = {"id": name, "addr": "127.0.0.1:1", "state": "up"}
        endpoint_list.apply({"version": version, "full": full, "servers": [server, {"state": "?"}]}, first)

    for line in ((4, True, True, "a"), (4, False, False, "b"), (4, False, True, "b"), (5, False, False, "c"),
                 (3, True, False, "d"), (4, False, False, "e"), (3, False, False, "b"), (1, True, True, "f"),
                 (2, False, False, "g")):  # fmt: skip
        read(*line)
    assert observer == [["a"], ["c"], ["d"], ["e"], ["f"], ["g"]]
    assert endpoint_list.version == 2
    with pytest.raises(
        ValueError, match="its count began anew"
    ):  # a watch that begins behind what is known: its count is another one
        read(1, False, True, "h")
    read(1, False, True, "i")  # send_request anew, for all
    assert observer[-1] == ["i"]
    assert endpoint_list.version == 1
