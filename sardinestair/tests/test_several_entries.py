"""Jobs that are submitted at several entries, in one process."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import pytest

from sardinestair.cli.client import ApiClient
from sardinestair.entry.process import EntryProcess
from sardinestair.settings import EntrySettings, SidecarSettings, parse_tree
from sardinestair.settings.process import Address
from sardinestair.sidecar.process import SidecarProcess
from sardinestair.standins import UpstreamStandin

ENTRIES, SLOTS = 3, 4
READY_TIMEOUT_S = 20.0
CLOCK_AHEAD_S = 3600.0
RUN_S = 1.0


@pytest.fixture
def start_log(tmp_path):
    """File with a line for each task that the upstream has started."""
    return tmp_path / "starts.log"


@pytest.fixture
def clients(start_log):
    any_port = Address(http_port=0, link_port=0)
    entries = []
    for _ in range(ENTRIES):
        peers = [entry.membership_endpoint for entry in entries]
        entry = EntryProcess(EntrySettings(address=any_port, peers=peers))
        entry.start()
        entry.adopt(1, parse_tree("services: {quotes: {}}").ok)
        entries.append(entry)
    sidecar = SidecarProcess(
        SidecarSettings(
            [entry.membership_endpoint for entry in entries], address=any_port
        )
    )
    sidecar.start()
    upstream = UpstreamStandin(
        f"http://127.0.0.1:{sidecar.http.port}",
        "quotes",
        slots=SLOTS,
        start_log=str(start_log),
    )
    upstream.start()
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s and not all(
        len(entry.exchange.outboxes) == ENTRIES - 1
        and "quotes" in entry.dispatcher.services
        and entry.dispatcher.services["quotes"].slots == SLOTS
        for entry in entries
    ):
        time.sleep(0.01)
    yield [
        ApiClient(f"http://127.0.0.1:{entry.http.port}") for entry in entries
    ]
    upstream.stop()
    assert sidecar.stop()
    for entry in entries:
        assert entry.stop()


def make_id():
    """Returns an id of a caller whose clock is ahead."""
    time_ms = int((time.time() + CLOCK_AHEAD_S) * 1000)
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    value = time_ms << 80 | 7 << 76 | 2 << 62 | random_bits
    return str(uuid.UUID(int=value))


# Guards against a job that runs at several entries at the same time (rule
# TWICE): its caller submits it again, and a duplicate comes.
def test_job_submitted_at_all_entries_runs_once(clients, start_log):
    job = {
        "service": "quotes",
        "team": "tills",
        "tasks": [{"payload": {"run_s": RUN_S, "echo": 7}}],
        "id": make_id(),
        "best_effort": True,
    }
    with ThreadPoolExecutor(ENTRIES) as callers:
        first = callers.submit(clients[0].call, "POST", "/v1/jobs", job)
        time.sleep(RUN_S / 2)
        later = [
            callers.submit(client.call, "POST", "/v1/jobs", job)
            for client in clients[1:]
        ]
        answers = [call.result() for call in [first, *later]]
    assert len(start_log.read_text().splitlines()) == 1
    assert [answer.ok["results"] for answer in answers] == [[7]] * ENTRIES
