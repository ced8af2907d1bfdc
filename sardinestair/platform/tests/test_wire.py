"""Decoding of the examples in the platform's documentation."""

import msgspec
import pytest

from sardinestair.limits.resources import Resources
from sardinestair.platform import wire
from sardinestair.platform.operator import read_configuration
from sardinestair.settings.tree import resolve_settings
from sardinestair.store.port import KeyValue, Snapshot

JOB = b"""{"spec":"(text)","phases":[{"count":4,"cpu":500,"mem_mb":256,
"est_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,
"est_ms":7000,"after":[0],"checkpointing":true}]}"""

HEARTBEAT = b"""{"service":"huvo11a","address":"10.128.0.9:8080",
"zone":"ajloun-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,
"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
"clock_ms":482113,"sequence":4,"born":1780000000000}"""

REPORT = b"""{"clock_ms":482113,
"active":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,1600]],
"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"""

CONFIGURATION = b"""{"version":7,"routes":[{"name":"r-3hwrr6x",
"host":"nony24.example","prefix":"/lohu930/","kind":"non_idempotent",
"timeout_ms":1500,"target_duration_ms":60,"priority":0,"service":"huvo11a",
"max_attempts":2,"stretch":1.6},{"name":"r-73d3zji","host":"ficu95.example",
"prefix":"/pufi791/","kind":"non_idempotent","timeout_ms":1500,
"target_duration_ms":60,"priority":2,"service":"huvo11a","max_attempts":4,
"stretch":1.6}],"services":[{"name":"huvo11a","health_path":"/healthz",
"max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,
"standby":false}],"limits":{"max_header_bytes":16384,
"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""


def snapshot(value, key="op/config"):
    return Snapshot(9, [KeyValue(key, value, 8)])


def test_job():
    job = msgspec.json.decode(JOB, type=wire.SubmittedJob)
    first, second = job.steps
    assert (first.count, first.estimated_ms) == (4, 900)
    assert first.to_resources() == Resources(500, 256, 0)
    assert first.preferred_rack == "r1-3"
    assert second.after == [0]
    assert second.checkpointing
    assert not job.best_effort


@pytest.mark.parametrize(
    "field",
    ["gang", "same_rack", "speculative", "long_running", "fills"],
)
def test_flags_of_a_step(field):
    text = b'{"spec":"","phases":[{"count":1,"%s":true}]}' % field.encode()
    step = msgspec.json.decode(text, type=wire.SubmittedJob).steps[0]
    flags = [
        step.is_gang, step.needs_same_rack, step.speculative,
        step.is_long_running, step.uses_leftover_cpu,
    ]  # fmt: skip
    assert sum(flags) == 1


def test_heartbeat():
    heartbeat = msgspec.json.decode(HEARTBEAT, type=wire.Heartbeat)
    assert heartbeat.capacity.to_resources() == Resources(16000, 32768, 0)
    assert (heartbeat.born, heartbeat.sequence) == (1780000000000, 4)
    assert heartbeat.min_remaining_ms is None


def test_report():
    reply = msgspec.json.decode(REPORT, type=wire.ReportReply)
    assert reply.active[0][3] == 41
    assert reply.finished[0][0] == 58


def test_configuration_becomes_a_tree():
    versioned = read_configuration(snapshot(CONFIGURATION))
    assert versioned.revision == 7
    settings = resolve_settings(versioned.tree, "huvo11a", "z", "r-73d3zji")
    assert settings.max_attempts == 4
    assert settings.repeat_interrupted
    assert settings.priority == 2
    assert settings.objective_stretch == 1.6
    assert settings.objective_s == 0.06
    assert settings.deadline_s == 1.5
    route = versioned.tree.routes["r-3hwrr6x"]
    assert (route.host, route.prefix) == ("nony24.example", "/lohu930/")


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"\xff\xfe", b"[]", b'{"version":"7","routes":[]}', b"null"],
)
def test_invalid_configuration_is_none(value):
    assert read_configuration(snapshot(value)) is None


def test_other_keys_are_ignored():
    assert read_configuration(Snapshot(9, [])) is None
    found = read_configuration(snapshot(CONFIGURATION, "op/config2"))
    assert found is None


def test_route_without_its_service_is_skipped():
    text = CONFIGURATION.replace(b'"name":"huvo11a"', b'"name":"other"')
    assert read_configuration(snapshot(text)).tree.routes == {}
