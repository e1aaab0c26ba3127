"""The `[members]` table of the operator file."""

import pytest

from dahliabend.membership.authentication import parse_key
from dahliabend.routing_rules.comparison import needs_restart
from dahliabend.routing_rules.loaded_file import load_file

OPERATOR_FILE = """
[members]
name = "b1"
address = "127.0.0.1:7946"
key-files = ["key"]
{}
[listeners.callers]
address = "127.0.0.1:8080"
[pools.p]
members = [{{ id = "u", address = "127.0.0.1:9" }}]
[classes.q]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "r"
class = "q"
pool = "p"
"""


def load(directory, members_settings="", key="k" * 32):
    (directory / "key").write_text(key + "\n")
    path = directory / "file.toml"
    path.write_text(OPERATOR_FILE.format(members_settings))
    return load_file(str(path))


def test_a_valid_members_table_is_accepted(tmp_path):
    assert load(tmp_path, 'weight = 2.0\nperiod = "200ms"\ncut = "40%"').has_no_faults


@pytest.mark.parametrize(
    ("members_settings", "expected_fault"),
    [
        ('seeds = ["nowhere"]', "file.toml:6: members.seeds[0]: 'nowhere' is not an IPv4 address and port"),
        ('advertise = "1.2.3.4"', "file.toml:6: members.advertise: '1.2.3.4' is not"),
        ("weight = 0.0", "file.toml:6: members.weight: 0 is not between"),
        ("weight = nan", "file.toml:6: members.weight: nan is not between"),
        ('period = "1ms"', "file.toml:6: members.period: 1ms is not between 20ms and 60s"),
        ("period = 2", "file.toml:6: members.period: 2 has no unit"),
        ('forget = "5s"', "file.toml:6: members.forget: 5s is less than a hundred periods"),
        ('cut = "100%"', "file.toml:6: members.cut: 100% is not between 0 and 1"),
        ('zone = "' + "z" * 65 + '"', "file.toml:6: members.zone:"),
        ("zones = 3", "file.toml:6: members.zones: is no key here; is 'zone' meant?"),
    ],
)
def test_a_fault_of_the_table_names_file_line_key_and_reason(tmp_path, members_settings, expected_fault):
    (fault,) = load(tmp_path, members_settings).faults
    assert str(fault).removeprefix(f"{tmp_path}/").startswith(expected_fault)


def test_missing_and_short_keys_are_faults_of_the_file(tmp_path):
    (fault,) = load(tmp_path, key="short").faults
    assert "members.key-files[0]: key: 5 bytes; a key has 32 at least" in str(fault)
    (tmp_path / "key").unlink()
    (fault,) = load_file(str(tmp_path / "file.toml")).faults
    assert "members.key-files[0]: key can't be read: No such file" in str(fault)
    with pytest.raises(ValueError, match="31 bytes"):
        parse_key(b"k" * 31)


def test_a_reload_applies_zone_weight_seeds_and_keys_and_other_settings_need_a_restart():
    assert not any(
        needs_restart(f"members.{name}") for name in ("zone", "weight", "seeds[1]", "key-files[0]")
    )
    assert all(needs_restart(f"members.{name}") for name in ("name", "address", "period", "keep"))
