"""Requests of legal size that would cost far more memory once decoded."""

import threading
import tracemalloc

import pytest

from sardinestair.jobs.request import MAX_TASKS, parse_request
from sardinestair.outcomes import ProblemKind

HEAD = b'{"service":"quotes","team":"t","tasks":['
TASK = b'{"payload":1}'
ESCAPED_TASK = b'{"p\\u0061yload":1}'
BODY_BYTES = 8 << 20


def body_of(tasks, task=TASK):
    return HEAD + b",".join([task] * tasks) + b"]}"


@pytest.mark.parametrize("task", [TASK, ESCAPED_TASK])
def test_tasks_beyond_the_limit_are_not_decoded(task):
    """All of them took six times the memory of the body."""
    body = body_of(BODY_BYTES // len(task), task)
    tracemalloc.start()
    try:
        parsed = parse_request(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert parsed.error.kind is ProblemKind.TOO_LARGE
    assert parsed.error.field == "tasks"
    assert parsed.error.not_run
    assert peak_bytes < BODY_BYTES / 8


def test_the_largest_number_of_tasks_is_accepted():
    assert len(parse_request(body_of(MAX_TASKS)).ok.request.tasks) == MAX_TASKS
    too_many = parse_request(body_of(MAX_TASKS + 1))
    assert too_many.error.kind is ProblemKind.TOO_LARGE


def test_number_of_tasks_is_counted_for_each_request():
    """Also if requests are decoded in several threads at a time."""
    found = []

    def parse_some():
        for _ in range(20):
            found.append(parse_request(body_of(MAX_TASKS)).is_ok())
            found.append(parse_request(body_of(MAX_TASKS + 1)).is_error())

    threads = [threading.Thread(target=parse_some) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(found) == 160
    assert all(found)


def test_values_nested_too_deeply_are_refused_as_invalid():
    depth = BODY_BYTES // 2
    payload = b"[" * depth + b"]" * depth
    parsed = parse_request(HEAD + b'{"payload":' + payload + b"}]}")
    assert parsed.error.kind is ProblemKind.INVALID
    assert parsed.error.not_run


def test_small_values_of_a_payload_are_not_decoded():
    payload = b"[" + b"{}," * (BODY_BYTES // 3) + b"{}]"
    body = HEAD + b'{"payload":' + payload + b"}]}"
    tracemalloc.start()
    try:
        parsed = parse_request(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert parsed.is_ok()
    assert peak_bytes < 2 * BODY_BYTES
