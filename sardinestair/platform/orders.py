"""Client of the runner on the same machine."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from sardinestair.async_transfer import WITHDRAWN, AsyncTransfer, TransferPool
from sardinestair.limits.connections import ConnectionLimit
from sardinestair.messages import DECODE_ERRORS, TaskRef
from sardinestair.observability import EventLog
from sardinestair.platform.names import format_job_name
from sardinestair.platform.wire import (
    RefusalReply,
    ReportReply,
    ReportRequest,
    StartRequest,
    StopRequest,
)
from sardinestair.settings.process import split_address
from sardinestair.transfer import Reply, TransferFailure
from sardinestair.upstreams.orders import (
    EndKind,
    Refusal,
    RequestError,
    RunEnd,
    RunId,
    RunReport,
    RunState,
    StartReply,
)

__all__ = ["HttpRunClient"]

MS_PER_S = 1000
JSON_HEADERS = "Content-Type: application/json\r\n"
INSTANCE_HEADER = "X-Expect-Instance"

# Requests are idempotent, so one that fails on a connection closed by the
# runner can be repeated at little more than the cost of a new connection.
MAX_IDLE_S = 30
# An order takes about a millisecond, and one without a reply 50 ms, in which
# the other connections serve the rest.
MAX_ORDER_CONNECTIONS = 3
# A stop may take 50 ms. With one connection for reports and those for starts,
# fewer than the 64 that a runner accepts.
MAX_STOP_CONNECTIONS = 48

# Only jobs with one occurrence and one step are supported.
ONLY_OCCURRENCE = 0
ONLY_STEP = 0

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
}

_REFUSALS_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.TOO_LATE,
    "room": Refusal.NO_ROOM,
}

_REFUSALS_BY_STATUS = {
    400: Refusal.INVALID,
    421: Refusal.OTHER_INCARNATION,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class HttpRunClient:
    """Implements `RunClient` over HTTP.

    Reports have a connection of their own, as they wait for ends. Up to
    `MAX_ORDER_CONNECTIONS` starts and as many stops are sent at a time, over
    connections reused last in, first out: a runner closes idle ones soon, so
    with one for each task of a burst most orders would have to open a new one.
    If many stops take long, up to `MAX_STOP_CONNECTIONS` are sent at a time.

    Args:
        address: Address at which the runner accepts requests, host:port.

    Attributes:
        instance: Id of the runner that starts are meant for, or empty if it is
            unknown. A start that is delayed until another one listens at the
            address is refused there.
    """

    def __init__(self, address: str):
        self.host, self.port = split_address(address)
        self.report_transfer = AsyncTransfer(
            self.host, self.port, max_idle_s=MAX_IDLE_S
        )
        self.order_transfers = TransferPool(
            self.host,
            self.port,
            ConnectionLimit(MAX_ORDER_CONNECTIONS),
            MAX_IDLE_S,
        )
        self.stop_limit = ConnectionLimit(
            MAX_ORDER_CONNECTIONS, MAX_STOP_CONNECTIONS
        )
        self.instance = ""
        self.report_decoder = msgspec.json.Decoder(ReportReply)
        self.log = EventLog("runner")

    def run_id(self, ref: TaskRef) -> RunId:
        """Returns the runner's identifier for an attempt."""
        return RunId(format_job_name(ref.job), ref.index, ref.attempt)

    async def start(
        self,
        run: RunId,
        payload: bytes,
        until_s: float,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> Result[StartReply, RequestError]:
        """Starts a run; see `RunClient.start`."""
        try:
            specification = msgspec.json.decode(payload, type=str)
        except DECODE_ERRORS as error:
            self.log.warning("payload_unreadable", reason=str(error))
            return Ok(StartReply(Refusal.INVALID))
        start = StartRequest(
            _format_task_name(run),
            run.attempt,
            specification,
            int(until_s * MS_PER_S),
        )
        result = await _post(
            self.order_transfers.perform,
            "/run-start",
            start,
            timeout_s,
            self._instance_header(),
            may_send=may_send,
        )
        if result.is_error():
            return Error(result.error)
        reply = result.ok
        if reply.status == 200:
            return Ok(StartReply())
        if reply.status in _REFUSALS_BY_STATUS:
            return Ok(StartReply(_REFUSALS_BY_STATUS[reply.status]))
        if reply.status == 409:
            return Ok(StartReply(self._decode_refusal(reply.body)))
        return _unknown_outcome(reply)

    async def stop(
        self, run: RunId, timeout_s: float
    ) -> Result[None, RequestError]:
        """Stops a run; see `RunClient.stop`."""
        stop = StopRequest(_format_task_name(run), run.attempt)
        result = await _post(
            self.order_transfers.perform,
            "/run-stop",
            stop,
            timeout_s,
            limit=self.stop_limit,
        )
        return result.bind(
            lambda reply: (
                Ok(None) if reply.status == 200 else _unknown_outcome(reply)
            )
        )

    async def report(
        self,
        until_s: float | None,
        acknowledged: int,
        wait_s: float,
        timeout_s: float,
    ) -> Result[RunReport, RequestError]:
        """Renews the lease and reports the runs; see `RunClient.report`."""
        until_ms = None if until_s is None else int(until_s * MS_PER_S)
        request = ReportRequest(acknowledged, int(wait_s * MS_PER_S), until_ms)
        result = await _post(
            self.report_transfer.perform, "/hold", request, timeout_s
        )
        if result.is_error():
            return Error(result.error)
        if result.ok.status != 200:
            return _unknown_outcome(result.ok)
        try:
            return Ok(_to_report(self.report_decoder.decode(result.ok.body)))
        except (*DECODE_ERRORS, ValueError, IndexError) as error:
            return Error(RequestError(f"invalid report: {error}", True))

    def close(self) -> None:
        """Closes all connections."""
        self.report_transfer.close()
        self.order_transfers.close()

    def _instance_header(self) -> str:
        # The id comes from a path, and may contain any character.
        is_token = self.instance.isascii() and self.instance.isprintable()
        if not (self.instance and is_token):
            return ""
        return f"{INSTANCE_HEADER}: {self.instance}\r\n"

    def _decode_refusal(self, body: bytes) -> Refusal:
        try:
            reason = msgspec.json.decode(body, type=RefusalReply).reason
        except DECODE_ERRORS as error:
            self.log.warning("refusal_unreadable", reason=str(error))
            return Refusal.INVALID
        return _REFUSALS_BY_REASON.get(reason, Refusal.INVALID)


async def _post(
    perform: Callable[..., Awaitable[Reply | TransferFailure]],
    path: str,
    body: msgspec.Struct,
    timeout_s: float,
    headers: str = "",
    **options: Any,
) -> Result[Reply, RequestError]:
    reply = await perform(
        "POST",
        path,
        msgspec.json.encode(body),
        timeout_s,
        JSON_HEADERS + headers,
        **options,
    )
    if isinstance(reply, Reply):
        return Ok(reply)
    return Error(
        RequestError(
            reply.reason,
            reply.was_sent,
            is_withdrawn=reply is WITHDRAWN,
            is_refused=reply.is_refused,
        )
    )


def _unknown_outcome(reply: Reply) -> Result[Any, RequestError]:
    """Returns the error for a status that leaves the outcome unknown."""
    return Error(RequestError(f"status {reply.status}", True))


def _format_task_name(run: RunId) -> str:
    return f"{run.job}.{ONLY_OCCURRENCE}.{ONLY_STEP}.{run.index}"


def _to_run_id(task: str, attempt: int) -> RunId:
    """Returns a run's identifier.

    The job id of runs of other occurrences or steps contains these numbers,
    so that they don't collide with the runs started here.
    """
    job, occurrence, step, index = task.split(".")
    if (int(occurrence), int(step)) != (ONLY_OCCURRENCE, ONLY_STEP):
        job = f"{job}.{occurrence}.{step}"
    return RunId(job, int(index), attempt)


def _to_report(reply: ReportReply) -> RunReport:
    active = [
        RunState(_to_run_id(str(row[0]), int(row[1])), int(row[3]))
        for row in reply.active
    ]
    ends = [
        RunEnd(
            int(row[0]),
            _to_run_id(str(row[1]), int(row[2])),
            _END_KINDS.get(str(row[3]), EndKind.OTHER),
        )
        for row in reply.finished
    ]
    return RunReport(reply.clock_ms / MS_PER_S, reply.born, active, ends)
