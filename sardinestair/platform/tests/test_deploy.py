"""The settings templates of the deployment are valid and consistent."""

import json
import re
import tomllib
from collections import Counter
from pathlib import Path

import pytest

from sardinestair.ids import Incarnation
from sardinestair.links.timing import MAX_CLOCK_DRIFT, MAX_STOP_S, STOP_LIMIT_S
from sardinestair.membership.choice import choose_entries
from sardinestair.settings import EntrySettings, SidecarSettings
from sardinestair.settings.files import parse_yaml

DEPLOY = Path(__file__).parents[3] / "deploy"
VM_FIELDS = {
    "ip": "10.1.0.13",
    "zone": "leinster",
    "internal_ports": [7720, 7735],
    "seeds": ["10.1.0.13:8166", "10.2.0.30:8166"],
    "app": "10.1.0.14:8165",
    "platform": {"address": "10.200.1.7:8169"},
    "listen": {
        "frontend": "10.1.0.13:8161",
        "readiness": "10.1.0.13:8167",
        "control_plane": "10.1.0.13:8166",
    },
}
# Earliest time at which a client of the platform resubmits a job.
CLIENT_RETRY_S = 1.3
# 75 links overload a VM with 0.4 cores (docs/EXPERIMENTS.md, 25).
MAX_LINKS = 50
# A tenth of the upstreams, so that enough remain if some are lost.
MIN_LINKS = 8
# Time to serve the backlog and to stop the servers and threads.
CLOSE_S = 1.0
# Limit of the platform on a graceful shutdown.
SHUTDOWN_GRACE_S = 6.0
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill_template(name, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    text = (DEPLOY / name).read_text(encoding="utf-8")
    return PLACEHOLDER.sub(value, text)


def load_template(name, kind, **changes):
    parsed = parse_yaml(
        fill_template(name, {**VM_FIELDS, **changes}), kind, name
    )
    assert parsed.is_ok(), str(parsed.error)
    return parsed.ok


def test_entry_template():
    settings = load_template("entry.yaml", EntrySettings)
    assert settings.address.link_port == 7735
    assert settings.platform.client_address == "10.1.0.13:8161"
    assert settings.platform.seeds == VM_FIELDS["seeds"]


def test_environment_of_the_programs_is_that_of_their_settings():
    with (DEPLOY / "system.toml").open("rb") as stream:
        roles = tomllib.load(stream)["roles"]
    assert roles["entry"]["env"] == {
        "SARDINESTAIR_MEMORY_MB": "{{limits.memory_mb}}",
        "SARDINESTAIR_REMOTE_FACTOR": "{{bounds.remote_factor}}",
    }
    assert roles["sidecar"]["env"] == {
        "SARDINESTAIR_MEMORY_MB": "{{limits.memory_mb}}"
    }


def test_sidecar_template():
    settings = load_template("sidecar.yaml", SidecarSettings)
    assert settings.platform.runner_address == "10.1.0.14:8165"
    assert settings.platform.heartbeat_address == "10.1.0.13:8166"


@pytest.mark.parametrize(
    ("name", "kind"),
    [("entry.yaml", EntrySettings), ("sidecar.yaml", SidecarSettings)],
)
def test_seeds_may_be_empty(name, kind):
    assert load_template(name, kind, seeds=[]).platform.seeds == []


def test_both_ends_of_a_link_have_the_same_limits():
    entry = load_template("entry.yaml", EntrySettings)
    assert entry.link == load_template("sidecar.yaml", SidecarSettings).link


def test_runs_end_before_clients_resubmit():
    link = load_template("entry.yaml", EntrySettings).link
    latest_end_s = (
        link.session_s + link.lease_s * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    )
    assert latest_end_s < CLIENT_RETRY_S


def test_cancelled_runs_end_before_clients_resubmit():
    """A connection that breaks cancels its job, and the client resubmits."""
    latest_end_s = STOP_LIMIT_S * (1 + MAX_CLOCK_DRIFT) + MAX_STOP_S
    assert latest_end_s < CLIENT_RETRY_S


def test_entry_stops_within_the_grace_period():
    settings = load_template("entry.yaml", EntrySettings)
    shutdown_s = settings.platform.leave_s + settings.drain_timeout_s
    assert shutdown_s + CLOSE_S < SHUTDOWN_GRACE_S


def test_links_of_a_large_deployment_do_not_overload_a_small_vm():
    """14 entries, 75 sidecars; each link costs an entry 13 frames a second."""
    max_entries = load_template("sidecar.yaml", SidecarSettings).max_entries
    entries = [f"10.1.0.{n}:7101" for n in range(14)]
    links = Counter(
        entry
        for n in range(75)
        for entry in choose_entries(
            Incarnation(bytes([n]) * 16), entries, max_entries
        )
    )
    assert len(links) == len(entries)
    assert max(links.values()) <= MAX_LINKS
    assert min(links.values()) >= MIN_LINKS


def test_entries_of_a_small_deployment_have_links_to_all_sidecars():
    assert load_template("sidecar.yaml", SidecarSettings).max_entries >= 3
