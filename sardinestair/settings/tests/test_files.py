"""Loading of settings files: error positions and environment overrides."""

import pytest

from sardinestair.settings import (
    EntrySettings,
    SettingsTree,
    SidecarSettings,
)
from sardinestair.settings.files import parse_yaml
from sardinestair.settings.process import load_process_settings


@pytest.mark.parametrize(
    ("text", "kind", "expected"),
    [
        ("zone: a\nzome: b", EntrySettings, "f:2: unknown key zome, did you"),
        ("address:\n  http_port: x", EntrySettings, "f:2: Expected `int`"),
        ("address:\n  http_port: 99999", EntrySettings, "f:2: Expected"),
        ("a: [", EntrySettings, "f:1: "),
        (
            "services:\n  q:\n    set:\n      deadline: 1",
            SettingsTree,
            "f:4: unknown key deadline, did you mean deadline_s?",
        ),
        ("set:\n  policy: best", SettingsTree, "f:2: Invalid enum value"),
    ],
)
def test_error_reports_position_and_cause(text, kind, expected):
    error = parse_yaml(text, kind, "f").error
    assert str(error).startswith(expected), str(error)


def test_environment_overrides_the_address(tmp_path):
    file = tmp_path / "entry.yaml"
    file.write_text("zone: munster\n")
    environment = {
        "SARDINESTAIR_HOST": "10.0.0.5",
        "SARDINESTAIR_LINK_PORT": "7001",
    }
    loaded = load_process_settings(str(file), EntrySettings, environment).ok
    assert loaded.address.host == "10.0.0.5"
    assert loaded.address.link_port == 7001


PLATFORM_ENTRY = """
platform:
  store_address: 10.0.0.1:1
  client_address: 10.0.0.1:2
  readiness_address: 10.0.0.1:3
"""


@pytest.mark.parametrize(
    ("texts", "expected"),
    [(("160", "1.5"), (160, 1.5)), (("", ""), (None, None))],
)
def test_environment_sets_limits_unless_it_is_empty(tmp_path, texts, expected):
    file = tmp_path / "entry.yaml"
    file.write_text(PLATFORM_ENTRY)
    names = ("SARDINESTAIR_MEMORY_MB", "SARDINESTAIR_REMOTE_FACTOR")
    environment = dict(zip(names, texts, strict=True))
    loaded = load_process_settings(str(file), EntrySettings, environment).ok
    assert (loaded.memory_mb, loaded.platform.remote_factor) == expected


def test_limit_that_is_no_number_is_an_error(tmp_path):
    file = tmp_path / "entry.yaml"
    file.write_text(PLATFORM_ENTRY)
    environment = {"SARDINESTAIR_MEMORY_MB": "much"}
    loaded = load_process_settings(str(file), EntrySettings, environment)
    assert "memory_mb" in str(loaded.error)


def test_invalid_override_is_an_error(tmp_path):
    file = tmp_path / "entry.yaml"
    file.write_text("zone: munster\n")
    environment = {"SARDINESTAIR_LINK_PORT": "70010"}
    loaded = load_process_settings(str(file), EntrySettings, environment)
    assert "link_port" in str(loaded.error)


@pytest.mark.parametrize("endpoint", ["", "abc", "10.0.0.1", "10.0.0.1:70000"])
def test_endpoints_of_other_processes_are_checked(endpoint):
    for kind, field in ((EntrySettings, "peers"), (SidecarSettings, "entries")):
        parsed = parse_yaml(f"{field}: ['{endpoint}']", kind, "x.yaml")
        assert "endpoint must be host:port" in str(parsed.error)
