"""Programs: start without arguments, signals and failures to start."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from sardinestair.launch import SETTINGS_VARIABLE

WAIT_S = 30.0


def start_program(program, settings=None, **variables):
    environment = {**os.environ, **variables}
    environment.pop(SETTINGS_VARIABLE, None)
    if settings is not None:
        environment[SETTINGS_VARIABLE] = str(settings)
    return subprocess.Popen(
        [sys.executable, "-m", f"sardinestair.{program}.main"],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def wait_for_line(program, text):
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        line = program.stdout.readline()
        if text in line or not line:
            return line
    raise AssertionError(f"no line with {text}")


@pytest.fixture
def settings(tmp_path):
    file = tmp_path / "entry.yaml"
    file.write_text("address: {http_port: 0, link_port: 0}\nhttp_threads: 4\n")
    return file


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_program_stops_gracefully_on_a_signal(settings, number):
    program = start_program("entry", settings)
    assert wait_for_line(program, "entry_started")
    program.send_signal(number)
    output, _ = program.communicate(timeout=WAIT_S)
    assert "entry_stopped" in output
    assert program.returncode == 0


def test_setting_without_a_meaning_is_accepted_with_a_warning(settings):
    program = start_program("entry", settings)
    assert "setting=http_threads" in wait_for_line(program, "setting_ignored")
    program.terminate()
    program.communicate(timeout=WAIT_S)
    assert program.returncode == 0


SIGNAL_FROM_START = """
import os, signal, sys, time
from sardinestair.daemon import DaemonRunner
from sardinestair.event_loop import EventLoop

class SlowLoop(EventLoop):
    def run(self):
        time.sleep(0.3)
        super().run()

class Daemon:
    def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    def stop(self):
        return True

    def reload(self, settings):
        pass

    def report_usage(self):
        pass

sys.exit(DaemonRunner(Daemon(), SlowLoop(), lambda: None).run())
"""


FAILING_POLLS = """
import os, signal, sys
from sardinestair.daemon import DaemonRunner
from sardinestair.event_loop import EventLoop

class Daemon:
    polls = 0

    def start(self):
        pass

    def stop(self):
        return True

    def reload(self, settings):
        pass

    def report_usage(self):
        self.polls += 1
        if self.polls == 3:
            os.kill(os.getpid(), signal.SIGTERM)
        raise ValueError("a poll failed")

sys.exit(DaemonRunner(Daemon(), EventLoop(), lambda: None).run())
"""


# Guards against a program that reads no settings any more after one poll that
# failed.
def test_polls_go_on_after_an_error():
    program = [sys.executable, "-c", FAILING_POLLS]
    assert subprocess.run(program, timeout=WAIT_S).returncode == 0


# Guards against a program that goes on after SIGTERM: a signal that came before
# the event loop ran was lost.
def test_signal_before_the_loop_runs_is_not_lost():
    program = [sys.executable, "-c", SIGNAL_FROM_START]
    assert subprocess.run(program, timeout=WAIT_S).returncode == 0


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.01, 0.05, 0.1])
def test_signal_during_the_start_stops_the_program(settings, delay_s):
    program = start_program("entry", settings)
    assert wait_for_line(program, "setting_ignored")  # The first line.
    time.sleep(delay_s)
    program.terminate()
    output, _ = program.communicate(timeout=WAIT_S)
    assert "entry_stopped" in output
    assert program.returncode == 0


def test_changed_settings_are_read_on_hangup(settings):
    program = start_program("entry", settings)
    assert wait_for_line(program, "entry_started")
    settings.write_text(settings.read_text() + "zone: leinster\n")
    program.send_signal(signal.SIGHUP)
    assert "changed=zone" in wait_for_line(program, "settings_reloaded")
    program.terminate()
    program.communicate(timeout=WAIT_S)


def test_missing_settings_are_a_usage_error():
    program = start_program("sidecar")
    output, _ = program.communicate(timeout=WAIT_S)
    assert program.returncode == 2
    assert SETTINGS_VARIABLE in output


def test_invalid_settings_are_a_usage_error(tmp_path):
    file = tmp_path / "sidecar.yaml"
    file.write_text("entrys: []\n")
    program = start_program("sidecar", file)
    output, _ = program.communicate(timeout=WAIT_S)
    assert program.returncode == 2
    assert "unknown key entrys, did you mean entries?" in output


# Guards against a process that neither serves nor ends: an open socket held up
# the end of its ZeroMQ context.
def test_program_whose_port_is_taken_exits_at_once(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        file = tmp_path / "entry.yaml"
        file.write_text(f"address: {{http_port: {port}, link_port: 0}}\n")
        program = start_program("entry", file)
        output, _ = program.communicate(timeout=WAIT_S)
    assert program.returncode == 1
    assert "program_failed" in output
