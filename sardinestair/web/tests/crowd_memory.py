"""Bodies that grow side by side, without a network, in a process of its own.

`python -m sardinestair.web.tests.crowd_memory SEED` prints by how much the
resident memory grew at most, the limit of the account, its peak and what the
crowd sent, in bytes.
"""

import random
import re
import sys

from sardinestair.daemon import tune_interpreter
from sardinestair.observability import EventLog
from sardinestair.web import (
    HttpServer,
    MemoryAccount,
    Response,
    ServerRole,
    WebApp,
    charged,
    connection,
)
from sardinestair.web.memory import budget_bytes

CROWD = 200
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
HEAD = b"POST /jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
DATA = HEAD + CHUNK * 40
MAX_BODY_BYTES = 8 << 20
READ_BYTES = (4096, 65536, 65536, 131072, 262144)
STEP_S = 0.005


class FakeTransport:
    """A transport whose peer reads everything."""

    def __init__(self):
        self.is_paused = False
        self.is_closed = False

    def set_write_buffer_limits(self, _high):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, _name):
        return ("127.0.0.1", 1)

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def write(self, _data):
        pass

    def can_write_eof(self):
        return False

    def close(self):
        self.is_closed = True

    abort = close


def read_memory_bytes(field):
    with open("/proc/self/status", encoding="utf-8") as stream:
        return int(re.search(rf"{field}:\s+(\d+)", stream.read())[1]) << 10


async def submit(_request):
    return Response()


def main(seed):
    tune_interpreter()
    charged.count_received = lambda _transport: 0
    log = EventLog("test")
    app = WebApp([("/jobs", ["POST"], submit)], MAX_BODY_BYTES, log)
    server = HttpServer("127.0.0.1", 0, app)
    now_s, calls, rng = [0.0], [], random.Random(seed)
    server.now_s = lambda: now_s[0]
    server.turns.call_soon = calls.append
    server._schedule_time_check = lambda: None
    account = MemoryAccount(budget_bytes(160), 4096, server.now_s, log)
    server.share = account.shares[ServerRole.CALLERS]
    crowd = []
    for _ in range(CROWD):
        client = connection.HttpConnection(server)
        client.connection_made(FakeTransport())
        crowd.append(client)
    positions = dict.fromkeys(crowd, 0)
    before_bytes = read_memory_bytes("VmRSS")
    while crowd:
        for client in list(crowd):
            if client.transport.is_closed or positions[client] >= len(DATA):
                crowd.remove(client)
                client.connection_lost(None)
            elif not client.transport.is_paused and rng.random() < 0.5:
                start = positions[client]
                positions[client] += rng.choice(READ_BYTES)
                client.data_received(DATA[start : positions[client]])
        due, calls[:] = calls[:], []
        for call in due:
            call()
        now_s[0] += STEP_S
    grown_bytes = read_memory_bytes("VmHWM") - before_bytes
    share = server.share
    sent_bytes = sum(positions.values())
    print(grown_bytes, share.limit_bytes, share.peak_bytes, sent_bytes)


if __name__ == "__main__":
    main(int(sys.argv[1]))
