"""Emulated entries, sidecars and upstreams that share one manual clock."""

import enum
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec
import zmq

from sardinestair.clock import ManualClock
from sardinestair.emulator.report import (
    JobOutcome,
    Report,
    response_objective_s,
)
from sardinestair.emulator.workload import EmulatedJob
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs import Job, JobRequest
from sardinestair.jobs.request import ParsedRequest, make_tasks
from sardinestair.limits.resources import Resources
from sardinestair.links.entry_link import EntryLink, LinkState
from sardinestair.links.timing import STOP_LIMIT_S, LinkTiming
from sardinestair.messages import EntryFrame, TaskRef, TaskState
from sardinestair.observability import Metrics
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings import SettingsTree
from sardinestair.settings.tree import resolve_settings
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.upstreams import Announcement
from sardinestair.upstreams.caller import CallResult, ResultCallback
from sardinestair.upstreams.leased import STALL_TIMEOUT_S, STALLED

__all__ = ["Connection", "EmulatedSystem", "Fault", "UpstreamModel"]

SERVICE = "quotes"
TIMING = LinkTiming(0.15, 0.45, lost_s=1.3, session_s=0.75, lease_s=0.45)
TICK_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.1
ANNOUNCE_INTERVAL_S = 1.0
MEMORY_MB = 65536
LONG_RUN_FACTOR = 7.0
# Duration of a start that gets no reply: its timeout, a stop and a report.
UNANSWERED_START_S = 0.1
STOP_DURATION_S = 0.05
# Payload of a task that crashes its upstream, and the age at which it does so.
CRASHING_PAYLOAD = b"null"
CRASH_AGE_S = 0.01
RESTART_S = 3.3
REFUSAL_KINDS = frozenset(
    {ProblemKind.OVERLOADED, ProblemKind.UNAVAILABLE, ProblemKind.DRAINING}
)


class Fault(enum.Enum):
    """Fault injected into an upstream."""

    NONE = "none"
    STALLED = "tasks stall"
    FAILING = "tasks fail immediately"


class UpstreamModel(msgspec.Struct):
    """Parameters of an emulated upstream.

    Attributes:
        speed: Factor by which its run times are multiplied; larger is
            slower.
        cpu_millis: CPU capacity, in thousandths of a core.
        fault: Fault injected into it.
        unanswered_share: Share of the starts that get no reply.
        failing_share: Share of the runs that fail at once.
        long_share: Share of the runs that take `LONG_RUN_FACTOR` times their
            usual time.
        rack: Its rack.
    """

    speed: float = 1.0
    cpu_millis: int = 16000
    fault: Fault = Fault.NONE
    unanswered_share: float = 0.0
    failing_share: float = 0.0
    long_share: float = 0.0
    rack: str = ""


class _FakeSocket:
    """Replaces a ZeroMQ socket; buffers messages until they are delivered."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.inbox: list[bytes] = []

    def set(self, *_option: int) -> None:
        pass

    def get(self, option: int) -> bytes | int:
        if option == zmq.LAST_ENDPOINT:
            return b"tcp://127.0.0.1:1"
        if option == zmq.FD:
            return -1
        return zmq.POLLIN if self.inbox else 0

    def bind(self, _endpoint: str) -> None:
        pass

    def connect(self, _endpoint: str) -> None:
        pass

    def recv_multipart(self, _flags: int = 0) -> list[bytes]:
        if not self.inbox:
            raise zmq.Again
        return [self.inbox.pop(0)]

    def send(self, data: bytes, _flags: int = 0) -> None:
        self.sent.append(data)

    def send_multipart(self, parts: list[bytes]) -> None:
        self.sent.append(parts)

    def take_sent(self) -> list[Any]:
        sent, self.sent = self.sent, []
        return sent


class _FakeContext:
    """Replaces a ZeroMQ context."""

    def socket(self, _kind: int) -> _FakeSocket:
        return _FakeSocket()


class _EmulatedRun:
    """A run of a task at an emulated upstream."""

    def __init__(
        self, result: CallResult, on_result: ResultCallback, started_s: float
    ):
        self.started_s = started_s
        self.result = result
        self.on_result = on_result
        self.is_finished = False


class _EmulatedUpstream:
    """Emulates an upstream, as the caller of a sidecar."""

    is_leased = True
    has_no_orphans = True
    is_lease_ending = False

    def __init__(self, system: "EmulatedSystem", model: UpstreamModel):
        self.system = system
        self.model = model
        self.server: LinkServer | None = None
        self.is_down = False
        self.start_count = 0
        self.random = random.Random(next(system.seeds))
        self.runs: dict[TaskRef, _EmulatedRun] = {}

    def start(
        self,
        ref: TaskRef,
        payload: bytes,
        timeout_s: float,
        may_start: Callable[[], bool],
        on_result: ResultCallback,
    ) -> None:
        """Starts a run now and schedules its end."""
        if self.is_down:
            result = CallResult(TaskState.NOT_RUN, b"refused", False, 0.0)
            self.system.schedule(0.0, lambda: on_result(result))
            return
        rack = self.system.job_racks.get(ref.job, self.model.rack)
        is_remote = rack != self.model.rack
        factor = self.system.remote_factor if is_remote else 1.0
        result = self._plan_result(payload, timeout_s, factor)
        run = _EmulatedRun(result, on_result, self.system.clock.monotonic())
        self.runs[ref] = run
        if payload == CRASHING_PAYLOAD:
            self.system.report.starts_of_crashing[ref.job, ref.index] += 1
            self.system.schedule(CRASH_AGE_S, self._crash)
            return
        self.system.schedule(result.run_s, lambda: self._finish(ref, run))

    def stop(
        self,
        ref: TaskRef,
        reason: bytes = b"",
        within_s: float = STOP_LIMIT_S,
    ) -> None:
        """Interrupts a run."""
        run = self.runs.get(ref)
        if run is None or run.is_finished:
            return
        state = TaskState.INTERRUPTED
        run.result = CallResult(state, reason, False, 0.0)
        age_s = self.system.clock.monotonic() - run.started_s
        self.system.report.wasted_run_s += age_s + STOP_DURATION_S
        self.system.schedule(STOP_DURATION_S, lambda: self._finish(ref, run))

    def close(self) -> None:
        pass

    def _crash(self) -> None:
        """Crashes with all runs, and restarts after a time."""
        if not self.is_down:
            self.system.report.crashes += 1
            self.lose(has_crashed=True)
            self.system.schedule(RESTART_S, self._restart)

    def lose(self, has_crashed: bool = False) -> None:
        """Ends without a sign; its runs end with their lease.

        Args:
            has_crashed: True if a task is the cause.
        """
        assert self.server is not None
        self.is_down = True
        now_s = self.system.clock.monotonic()
        for ref, run in list(self.runs.items()):
            age_s = now_s - run.started_s
            self.system.report.wasted_run_s += age_s
            # Its scheduled end must not come before that of the lease.
            run.is_finished = True
            result = CallResult(
                TaskState.INTERRUPTED,
                b"lost",
                False,
                age_s,
                has_crashed=has_crashed,
            )
            lost = _EmulatedRun(result, run.on_result, run.started_s)
            self.runs[ref] = lost
            self.system.schedule(
                TIMING.lease_s, functools.partial(self._finish, ref, lost)
            )
        self.server.report_upstream_lost()

    def _restart(self) -> None:
        assert self.server is not None
        self.is_down = False
        announcement = self.server.upstream.announcement
        assert announcement is not None
        self.server.announce(announcement)
        self.server.upstream.expires_s = float("inf")

    def _finish(self, ref: TaskRef, run: _EmulatedRun) -> None:
        if not run.is_finished:
            run.is_finished = True
            now_s = self.system.clock.monotonic()
            self.system.report.run_s += now_s - run.started_s
            del self.runs[ref]
            run.on_result(run.result)

    def _is_failing(self) -> bool:
        share = self.model.failing_share
        return share > 0 and self.random.random() < share

    def _plan_result(
        self, payload: bytes, timeout_s: float, factor: float
    ) -> CallResult:
        """Returns the result of a run, including its duration, in advance."""
        work_s = 0.0 if payload == CRASHING_PAYLOAD else float(payload)
        state, body = TaskState.DONE, b""
        run_s = abs(work_s) * self.model.speed * factor
        if self.random.random() < self.model.long_share:
            run_s *= LONG_RUN_FACTOR
        run_s = min(run_s, timeout_s)
        self.start_count += 1
        loss_interval = (
            1 / self.model.unanswered_share
            if self.model.unanswered_share
            else 0
        )
        if loss_interval and self.start_count % loss_interval < 1:
            state, run_s = TaskState.NOT_RUN, UNANSWERED_START_S
        elif self.model.fault is Fault.STALLED:
            state, body, run_s = TaskState.INTERRUPTED, STALLED, STALL_TIMEOUT_S
        elif (
            self.model.fault is Fault.FAILING
            or work_s < 0
            or self._is_failing()
        ):
            state, body, run_s = TaskState.FAILED, b"failed", 0.01
        if state not in (TaskState.DONE, TaskState.NOT_RUN):
            self.system.report.wasted_run_s += run_s
        return CallResult(state, body, False, run_s)


class Connection:
    """Connects an entry's link to a sidecar's link server."""

    def __init__(
        self,
        entry: Dispatcher,
        link: EntryLink,
        server: LinkServer,
        route: bytes,
    ):
        self.entry = entry
        self.link = link
        self.server = server
        self.route = route
        self.socket: Any = _FakeSocket()


class EmulatedSystem:
    """Discrete-event emulation of entries, sidecars and upstreams.

    Args:
        entries: Number of entries that share the upstreams.
        upstreams: Parameters of each upstream.
        tree: The settings tree.
        zones: Zones of the entries and of the upstreams, in turn.

    Attributes:
        remote_factor: Factor by which the tasks of jobs in `job_racks` take
            longer on other racks.
        rack_of: Returns the rack that a job names, or an empty string.
        job_racks: Racks of the jobs that name one.
        clock: The emulated clock.
        upstreams: Parameters of each upstream; changes of its speed and faults
            apply to runs that start later.
        report: Outcomes of the jobs.
    """

    def __init__(
        self,
        entries: int,
        upstreams: list[UpstreamModel],
        tree: SettingsTree,
        zones: tuple[str, ...] = ("z",),
    ):
        self.remote_factor = 1.0
        self.rack_of: Callable[[EmulatedJob], str] = lambda _job: ""
        self.job_racks: dict[JobId, str] = {}
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.start_s = self.clock.monotonic()
        self.report = Report()
        self.upstreams = upstreams
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.sequence = itertools.count(1)
        self.seeds = itertools.count(1)
        self.ready_servers: set[LinkServer] = set()
        self.emulated: list[_EmulatedUpstream] = []
        values = resolve_settings(tree, SERVICE)
        self.sidecar_policy = SidecarPolicy(
            idle_grant_delay_s=values.idle_grant_delay_s
        )
        zone_cycle = itertools.cycle(zones)
        self.servers = [
            self._make_server(model, next(zone_cycle)) for model in upstreams
        ]
        zone_cycle = itertools.cycle(zones)
        self.dispatchers = [
            self.make_entry(tree, next(zone_cycle)) for _ in range(entries)
        ]
        for dispatcher in self.dispatchers:
            dispatcher.admission_controller.share.entry_count = entries
        self.connections: list[Connection] = []
        self.by_route: dict[bytes, Connection] = {}
        for dispatcher in self.dispatchers:
            self.connect(dispatcher)
        self.pending: list[tuple[EmulatedJob, Job]] = []
        self._deliver_all()

    def schedule(self, delay_s: float, event: Callable[[], object]) -> None:
        """Schedules an event after a delay in seconds."""
        time_s = self.clock.monotonic() + delay_s
        heapq.heappush(self.events, (time_s, next(self.sequence), event))

    def lose_upstream(self, index: int) -> None:
        """Ends an upstream in an instant, for good."""
        self.emulated[index].lose()

    def submit(self, jobs: list[EmulatedJob]) -> None:
        """Schedules the arrivals of jobs, round-robin over the entries."""
        dispatchers = itertools.cycle(self.dispatchers)
        for job in sorted(jobs, key=lambda job: job.arrival_s):
            self.submit_to(next(dispatchers), job)

    def submit_to(self, dispatcher: Dispatcher, job: EmulatedJob) -> None:
        """Schedules the arrival of a job at an entry."""
        self.schedule(job.arrival_s, self.make_arrival(dispatcher, job))

    def run(self, duration_s: float) -> Report:
        """Runs the emulation until this time after its start."""
        end_s = self.start_s + duration_s
        ticks = itertools.count()
        while self.clock.monotonic() < end_s:
            next_tick_s = self.clock.monotonic() + TICK_INTERVAL_S
            while self.events and self.events[0][0] <= next_tick_s:
                time_s, _, event = heapq.heappop(self.events)
                self._advance_to(time_s)
                event()
                self._deliver_all()
            self._advance_to(next_tick_s)
            tick = next(ticks)
            is_heartbeat = (
                tick % round(HEARTBEAT_INTERVAL_S / TICK_INTERVAL_S) == 0
            )
            self._tick(is_heartbeat)
            if tick % round(ANNOUNCE_INTERVAL_S / TICK_INTERVAL_S) == 0:
                self._announce()
        return self.report

    def _make_server(self, model: UpstreamModel, zone: str) -> LinkServer:
        emulated = _EmulatedUpstream(self, model)
        self.emulated.append(emulated)
        upstream: Any = emulated
        context: Any = _FakeContext()
        server = LinkServer(
            "tcp://127.0.0.1:*",
            zone,
            self._make_id(),
            self.clock,
            Metrics(),
            context,
            TIMING,
            lambda _announcement, _lost: upstream,
        )
        emulated.server = server
        server.adopt(1, self.sidecar_policy)
        server.wake = lambda: self.ready_servers.add(server)
        capacity = Resources(model.cpu_millis, MEMORY_MB, 0)
        server.announce(
            Announcement(
                SERVICE,
                "http://127.0.0.1:1",
                8,
                ttl_s=300,
                capacity=capacity,
                rack=model.rack,
            )
        )
        # The emulation doesn't renew the announcement.
        server.upstream.expires_s = float("inf")
        return server

    def make_entry(self, tree: SettingsTree, zone: str = "z") -> Dispatcher:
        """Returns an entry without links."""
        context: Any = _FakeContext()
        dispatcher = Dispatcher(
            self._make_id(), zone, self.clock, Metrics(), context, TIMING
        )
        dispatcher.configure(tree)
        return dispatcher

    def connect(self, dispatcher: Dispatcher) -> None:
        """Links an entry to all sidecars."""
        for server in self.servers:
            link = dispatcher.handle_announcement(server.description())
            assert link is not None
            route = next(self.sequence).to_bytes(4, "big")
            connection = Connection(dispatcher, link, server, route)
            link.open_epoch(connection.socket)
            self.connections.append(connection)
            self.by_route[route] = connection

    def _make_id(self) -> Incarnation:
        return Incarnation(next(self.sequence).to_bytes(16, "big"))

    def make_arrival(
        self, dispatcher: Dispatcher, emulated: EmulatedJob
    ) -> Callable[[], None]:
        """Returns the event that brings a job to an entry."""

        def arrive() -> None:
            sign = -1 if emulated.always_fails else 1
            request = JobRequest(
                SERVICE,
                emulated.team,
                make_tasks(b"0", len(emulated.task_run_s)),
                kind=emulated.kind.name,
                deadline_s=emulated.deadline_s,
                declared_task_s=emulated.declared_task_s,
                need=Resources(emulated.cpu_millis, 64, 0),
                best_effort=True,
                rack=self.rack_of(emulated),
            )
            for index, work_s in enumerate(emulated.task_run_s):
                payload = msgspec.Raw(str(sign * work_s).encode())
                task = msgspec.structs.replace(
                    request.tasks[index], payload=payload
                )
                request.tasks[index] = task
            if emulated.crashes:
                request.tasks[0] = msgspec.structs.replace(
                    request.tasks[0], payload=msgspec.Raw(CRASHING_PAYLOAD)
                )
            job_id = JobId(next(self.sequence).to_bytes(16, "big"))
            if request.rack:
                self.job_racks[job_id] = request.rack
            parsed = ParsedRequest(job_id, request, b"")
            submitted = dispatcher.submit(parsed)
            if submitted.is_error():
                self.refuse(dispatcher, emulated, submitted.error)
                return
            job = submitted.ok
            job.done.add_done_callback(
                lambda _done: self.record(dispatcher, emulated, job)
            )

        return arrive

    def refuse(
        self, _dispatcher: Dispatcher, emulated: EmulatedJob, _problem: Problem
    ) -> None:
        """Records a job that is refused on arrival."""
        self.report.record(emulated, JobOutcome.REFUSED, 0.0)
        self.report.refused_at_once += 1
        if self._has_room_for(emulated):
            self.report.refused_with_free_room += 1

    def response_s(self, _emulated: EmulatedJob, job: Job) -> float:
        """Returns the time since a job was submitted, in seconds."""
        return self.clock.monotonic() - job.accepted_s

    def record(
        self, _dispatcher: Dispatcher, emulated: EmulatedJob, job: Job
    ) -> None:
        """Records the answer to a job."""
        response_s = self.response_s(emulated, job)
        answer = job.done.result()
        outcome = JobOutcome.IN_TIME
        if answer.is_error():
            self.report.failed_after_acceptance += not emulated.crashes
            is_refused = answer.error.kind in REFUSAL_KINDS
            outcome = JobOutcome.REFUSED if is_refused else JobOutcome.FAILED
        self.report.record(emulated, outcome, response_s)

    def _has_room_for(self, job: EmulatedJob) -> bool:
        """Returns True if all tasks of a job could start now and be in time.

        The tasks that wait at all entries are taken to start first.
        """
        limit = response_objective_s(job) / max(job.task_run_s)
        room = sum(
            (server.ledger.slots - server.ledger.occupied_units)
            // job.cpu_millis
            for server, upstream in zip(
                self.servers, self.upstreams, strict=True
            )
            if upstream.speed <= limit
        )
        waiting = sum(
            state.queue.waiting_tasks
            for dispatcher in self.dispatchers
            for state in dispatcher.services.values()
        )
        return room >= len(job.task_run_s) + waiting

    def _advance_to(self, time_s: float) -> None:
        self.clock.advance(max(0.0, time_s - self.clock.monotonic()))

    def _tick(self, is_heartbeat: bool) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.run_periodic_checks()
        if is_heartbeat:
            for server in self.servers:
                server._tick()
                self.ready_servers.add(server)
            for connection in self.connections:
                connection.link.notify()
        self._deliver_all()

    def _announce(self) -> None:
        """Announces the upstreams that serve to the entries linked to them."""
        for server in self.servers:
            announce = server.description()
            for dispatcher in self.dispatchers:
                link = dispatcher.links.get(server.incarnation)
                is_up = link is not None and link.state is LinkState.UP
                if is_up and not announce.leaving:
                    dispatcher.handle_announcement(announce)

    def _deliver_all(self) -> None:
        """Delivers frames until none is in flight."""
        while self._deliver_to_sidecars() or self._deliver_to_entries():
            pass

    def _deliver_to_sidecars(self) -> bool:
        has_delivered = False
        for connection in self.connections:
            link: Any = connection.link
            if link.state is LinkState.CLOSED:
                continue
            if not (link.is_ready or link.outbox):
                continue
            link.is_ready = False
            link.flush(connection.socket)
            for data in connection.socket.take_sent():
                frame = msgspec.msgpack.decode(data, type=EntryFrame)
                self.deliver_to_sidecar(connection, frame)
                has_delivered = True
        return has_delivered

    def deliver_to_sidecar(
        self, connection: Connection, frame: EntryFrame
    ) -> None:
        """Delivers a frame of an entry."""
        connection.server._handle_frame(connection.route, frame)
        self.ready_servers.add(connection.server)

    def _deliver_to_entries(self) -> bool:
        has_delivered = False
        for server in self.servers:
            if server not in self.ready_servers:
                continue
            self.ready_servers.discard(server)
            server._allocate_credits()
            server._flush()
            socket: Any = server.socket
            for route, data in socket.take_sent():
                self.deliver_to_entry(self.by_route[route], data)
                has_delivered = True
        return has_delivered

    def deliver_to_entry(self, connection: Connection, data: bytes) -> None:
        """Delivers a frame of a sidecar."""
        connection.socket.inbox.append(data)
        connection.link.receive(connection.socket)
        connection.entry.place_waiting()
        # A link that has received frames is served, as by `LinkLoop`.
        connection.link.notify()
