"""Binding of the listener before the program is imported."""

import socket
import subprocess
import sys

import pytest

from sardinestair.clock import SystemClock
from sardinestair.launch import SETTINGS_VARIABLE, prepare_launch


@pytest.fixture
def write_settings(tmp_path, monkeypatch):
    def write(text):
        file = tmp_path / "entry.yaml"
        file.write_text(text)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(file))

    return write


def test_connections_queue_until_they_are_accepted(write_settings):
    write_settings("platform: {client_address: '127.0.0.1:0'}")
    listener = prepare_launch("platform", "client_address").listener
    with socket.create_connection(listener.getsockname(), timeout=5) as caller:
        caller.sendall(b"hello")
        connection, _ = listener.accept()
        with connection:
            assert connection.recv(5) == b"hello"
    listener.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "platform:",
        "platform: {}",
        "platform: {client_address: 8080}",
        "platform: {client_address: 'here:there'}",
        "platform: {client_address: '127.0.0.1:99999'}",
        "platform: {client_address: '203.0.113.1:80'}",
        "platform: [",
    ],
)
def test_invalid_settings_give_no_listener(write_settings, text):
    write_settings(text)
    assert prepare_launch("platform", "client_address").listener is None


def test_address_in_use_gives_no_listener(write_settings):
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        write_settings(f"platform: {{client_address: '127.0.0.1:{port}'}}")
        assert prepare_launch("platform", "client_address").listener is None


# Guards against late starts of an earlier sidecar, for which the next one did
# not wait on a machine that had been suspended.
def test_start_of_the_process_is_on_the_system_clock(monkeypatch):
    monkeypatch.setattr(SystemClock, "monotonic", lambda _self: 123.0)
    assert prepare_launch("platform", "x").process_start_s == 123.0


# Guards against a process that ends if its settings change while it starts.
@pytest.mark.parametrize("program", ["entry", "sidecar"])
def test_changed_settings_do_not_end_a_program_that_starts(program):
    code = (
        f"import os, signal, sys, sardinestair.{program}.main as program\n"
        "def launch(*_arguments):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    sys.exit(0)\n"
        "program.prepare_launch = launch\n"
        "program.main()"
    )
    completed = subprocess.run([sys.executable, "-c", code])
    assert completed.returncode == 0


@pytest.mark.parametrize("program", ["entry", "sidecar"])
def test_large_libraries_are_not_imported_before_listening(program):
    """Listening must not wait for the import of large libraries."""
    code = (
        f"import sys, sardinestair.{program}.main; "
        "print([m for m in ('zmq', 'uvloop', 'cleo') if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[]"


# Guards against a wait for earlier leases that begins only after imports, which
# take a multiple of their time on a busy machine.
def test_start_of_the_process_is_noted_before_slow_imports():
    code = (
        "import sys\n"
        "from sardinestair.clock import SystemClock\n"
        "from sardinestair.launch import prepare_launch\n"
        "read = SystemClock.monotonic\n"
        "def monotonic(clock):\n"
        "    assert 'yaml' not in sys.modules\n"
        "    return read(clock)\n"
        "SystemClock.monotonic = monotonic\n"
        "prepare_launch('platform', 'client_address')"
    )
    completed = subprocess.run([sys.executable, "-c", code])
    assert completed.returncode == 0
