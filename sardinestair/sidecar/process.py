"""Assembles a sidecar process: its components and graceful shutdown."""

import time

import msgspec

from sardinestair.clock import Clock, SystemClock
from sardinestair.endpoints import select_endpoints
from sardinestair.event_loop import EventLoop, LoopTask
from sardinestair.ids import format_incarnation, new_incarnation
from sardinestair.membership import Announcer, choose_entries
from sardinestair.messages import DECODE_ERRORS, AnnounceReply
from sardinestair.observability import (
    EventLog,
    Metrics,
    StartStep,
    StartTimes,
    UsageReporter,
)
from sardinestair.observability.usage import read_processor_times
from sardinestair.process_memory import make_context, make_memory_account
from sardinestair.settings import SidecarSettings
from sardinestair.sidecar.api import UpstreamApi
from sardinestair.sidecar.link_server import LinkServer
from sardinestair.sidecar.policy import SidecarPolicy
from sardinestair.tasks import TaskPool
from sardinestair.upstreams import UpstreamState
from sardinestair.web import (
    HttpServer,
    ServerRole,
    WebApp,
    monitoring_rules,
)

__all__ = ["SidecarProcess"]

MAX_BODY_BYTES = 64 << 10
DRAIN_POLL_INTERVAL_S = 0.02
ENTRY_TTL_S = 60.0
# Only reads of the store take a thread, as they block.
MAX_THREADS = 1


class SidecarProcess:
    """Runs a sidecar in an event loop.

    Args:
        settings: The process's settings.
        clock: The clock.
        event_loop: The event loop; the sidecar runs one of its own if None.
        process_start_s: When the process started, on `clock`; now if None.

    Attributes:
        start_times: When the sidecar first reached each step of its start.
        server: Serves the links to entries, and owns the state.
        memory: Account of the memory that HTTP connections hold.
        announcers: One per chosen entry, by the entry's endpoint.
        last_learned_s: When each entry was last learned, from another entry,
            the store or changed settings.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        clock: Clock | None = None,
        event_loop: EventLoop | None = None,
        process_start_s: float | None = None,
    ):
        self.settings = settings
        self.owns_loop = event_loop is None
        self.event_loop = event_loop or EventLoop()
        self.clock = clock or SystemClock()
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self.context = make_context(settings)
        self.announcers: dict[str, Announcer] = {}
        self.is_stopping = False
        self.log = EventLog(
            "sidecar",
            sidecar=format_incarnation(self.incarnation),
            zone=settings.zone,
        )
        if process_start_s is None:
            process_start_s = self.clock.monotonic()
        self.start_times = StartTimes(
            process_start_s, self.clock, self.metrics, self.log
        )
        self.tasks = TaskPool(MAX_THREADS, self.log)
        self.last_learned_s: dict[str, float] = {}
        address = settings.address
        self.server = LinkServer(
            f"tcp://{address.host}:{address.link_port or '*'}",
            settings.zone,
            self.incarnation,
            self.clock,
            self.metrics,
            self.context,
            settings.link,
        )
        self.links = LoopTask(
            self.event_loop, self.server.run_once, self.log, "links"
        )
        self.usage = UsageReporter(
            self.clock,
            self.metrics,
            self.log,
            self.server.link_usage,
            lambda: read_processor_times(self.event_loop.busy_s),
            self._read_levels,
        )
        if settings.advertise is not None:
            self.server.advertised_endpoint = f"tcp://{settings.advertise}"
        self.memory = make_memory_account(
            settings, self.event_loop, self.log, self.metrics
        )
        rules = UpstreamApi(self.server).rules()
        rules += monitoring_rules(self.metrics, self._readiness)
        self.http = HttpServer(
            address.host,
            address.http_port,
            WebApp(rules, MAX_BODY_BYTES, self.log),
            self.event_loop,
            limits=settings.http,
            share=self.memory.shares[ServerRole.CALLERS],
        )

    def start(self) -> None:
        """Starts to serve."""
        self.start_times.reach(StartStep.LOADED)
        if self.owns_loop:
            self.event_loop.start()
        self.event_loop.call(self._start_links)
        self.http.start()
        self.event_loop.call(lambda: self._update_announcers([]))
        self.log.info(
            "sidecar_started",
            http_port=self.http.port,
            links=self.server.endpoint,
        )

    def stop(self) -> bool:
        """Accepts no new tasks, finishes those that run, and ends all threads.

        Returns:
            True if all outcomes were acknowledged before the drain time-out.
        """
        self.log.info("drain_started")
        self.event_loop.call(self.server.drain)
        deadline_s = self.clock.monotonic() + self.settings.drain_timeout_s
        while (unsettled := self._unsettled()) > 0:
            if self.clock.monotonic() >= deadline_s:
                break
            time.sleep(DRAIN_POLL_INTERVAL_S)
        self.event_loop.call(self._stop_announcers)
        self._shut_down()
        self.log.info("sidecar_stopped", unsettled=unsettled)
        return unsettled == 0

    def report_usage(self) -> None:
        """Reports the processor time by purpose and the counters of links."""
        self.usage.report_if_due()

    def reload(self, settings: SidecarSettings) -> None:
        """Learns entries added to the settings; the rest needs a restart."""
        self.event_loop.call(lambda: self._update_announcers(settings.entries))

    def _start_links(self) -> None:
        self.server.wake = self.links.wake
        self.server.listeners.append(self._notify_announcers)
        self.links.add(self.server.descriptor)
        self.links.wake()

    def _stop_links(self) -> None:
        self.links.stop()
        self.server.close()

    def _stop_announcers(self) -> None:
        self.is_stopping = True
        for announcer in self.announcers.values():
            announcer.stop()

    def _shut_down(self) -> None:
        self.http.stop()
        self.event_loop.call(self._stop_links)
        self.tasks.close()
        if self.owns_loop:
            self.event_loop.stop()
        self.context.term()

    def _configured_entries(self) -> list[str]:
        return self.settings.entries

    def _unsettled(self) -> int:
        return self.event_loop.call(self.server.unsettled)

    def _read_levels(self) -> dict[str, float]:
        granted = self.server.ledger.guarantee.granted_units
        return {
            "loop_delay_s": self.event_loop.take_longest_delay_s(),
            **{
                f"class_{n}_units": units for n, units in granted.copy().items()
            },
        }

    def _update_announcers(self, learned: list[str]) -> None:
        if self.is_stopping:
            return
        known = self._known_entries(learned)
        chosen = choose_entries(
            self.incarnation, known, self.settings.max_entries
        )
        for entry in set(self.announcers).difference(chosen):
            self.announcers.pop(entry).stop()
        for entry in set(chosen).difference(self.announcers):
            self._start_announcer(entry)

    def _known_entries(self, learned: list[str]) -> list[str]:
        """Returns the configured entries, and those learned recently."""
        now_s = self.clock.monotonic()
        valid = select_endpoints(learned)
        self.last_learned_s.update(dict.fromkeys(valid, now_s))
        self.last_learned_s = {
            entry: at_s
            for entry, at_s in self.last_learned_s.items()
            if now_s - at_s <= ENTRY_TTL_S
        }
        return [*self._configured_entries(), *self.last_learned_s]

    def _start_announcer(self, entry: str) -> None:
        announcer = Announcer(
            entry,
            self.server.description,
            AnnounceReply,
            self._handle_reply,
            self.settings.announce_interval_s,
            self.context,
            self.clock,
        )
        self.announcers[entry] = announcer
        announcer.start(
            LoopTask(
                self.event_loop, announcer.run_once, self.log, "announcements"
            )
        )

    def _handle_reply(self, reply: AnnounceReply) -> None:
        self._update_announcers(reply.entries)
        self.server.observe_evacuations(reply.evacuations)
        if reply.settings:
            try:
                policy = msgspec.json.decode(reply.settings, type=SidecarPolicy)
            except DECODE_ERRORS as error:
                self.log.warning("settings_undecodable", reason=str(error))
                return
            self.server.adopt(reply.settings_revision, policy)

    def _notify_announcers(self) -> None:
        if self.server.upstream.state is UpstreamState.SERVING:
            self.start_times.reach(StartStep.UPSTREAM)
        for announcer in list(self.announcers.values()):
            announcer.notify()

    def _readiness(self) -> tuple[bool, str]:
        reasons = {
            UpstreamState.ABSENT: "no upstream has announced itself",
            UpstreamState.LEAVING: "the upstream is leaving",
            UpstreamState.UNREACHABLE: "the upstream does not answer",
        }
        state = self.server.upstream.state
        return state is UpstreamState.SERVING, reasons.get(state, "")
