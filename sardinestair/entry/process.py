"""The entry as a whole: wiring, threads and graceful stop."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import zmq

from sardinestair.clock import Clock, SystemClock
from sardinestair.entry.api import CallerApi
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.membership_server import MembershipServer
from sardinestair.ids import format_incarnation, new_incarnation
from sardinestair.links.entry_link import EntryLink
from sardinestair.membership import Roster
from sardinestair.observability import EventLog, Metrics
from sardinestair.settings import EntrySettings, SettingsTree
from sardinestair.web import HttpServer, WebApp, operations_rules

__all__ = ["EntryProcess"]

TIMER_S = 0.02
DRAIN_POLL_S = 0.02
DRAIN_GRACE_S = 1.0
MAX_LINKS = 2048


class EntryProcess:
    """Runs an entry in threads of the current process.

    Args:
        settings: The process's settings.
        clock: The clock.

    Attributes:
        dispatcher: The aggregate that owns all jobs.
        membership: Receives announcements.
        http: Serves callers and operators.
    """

    def __init__(self, settings: EntrySettings, clock: Clock | None = None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self.context = zmq.Context()
        self.context.set(zmq.MAX_SOCKETS, 4 * MAX_LINKS)
        self.stopping = threading.Event()
        self.dispatcher = Dispatcher(
            self.incarnation,
            settings.zone,
            self.clock,
            self.metrics,
            self.context,
            retention_s=settings.retention_s,
        )
        # One thread for each link, one for membership, one for the timer.
        self.threads = ThreadPoolExecutor(MAX_LINKS + 8)
        address = settings.address
        self.roster = Roster()
        self.membership = MembershipServer(
            f"tcp://{address.host}:{address.link_port or '*'}",
            self.dispatcher,
            self.roster,
            self._start_link,
            self.context,
        )
        self.log = EventLog(
            "entry",
            entry=format_incarnation(self.incarnation),
            zone=settings.zone,
        )
        rules = CallerApi(self.dispatcher).rules()
        rules += operations_rules(self.metrics, self._readiness)
        self.app = WebApp(rules, settings.max_body_bytes, self.log)
        self.http = HttpServer(
            address.host, address.http_port, self.app, settings.http_threads
        )

    @property
    def membership_endpoint(self) -> str:
        """Where sidecars announce themselves, as host:port."""
        return self.membership.endpoint.removeprefix("tcp://")

    def start(self) -> None:
        """Starts all threads."""
        self.roster.entries.update(self.settings.peers)
        self.roster.entries.add(self.membership_endpoint)
        self.threads.submit(self._guard, self.membership.run)
        self.threads.submit(self._guard, self._run_timer)
        self.http.start()
        self.log.info(
            "entry_started",
            http_port=self.http.port,
            membership=self.membership_endpoint,
        )

    def adopt(self, revision: int, tree: SettingsTree) -> bool:
        """Puts a settings tree of a higher revision into force.

        Returns:
            False if the revision is not above that in force.
        """
        if revision <= self.membership.settings_revision:
            return False
        self.dispatcher.configure(tree)
        self.membership.settings_revision = revision
        self.log.info("settings_adopted", revision=revision)
        return True

    def stop(self) -> bool:
        """Takes no new job, answers all, then ends all threads.

        Returns:
            True if all jobs were answered in time.
        """
        self.log.info("drain_started", jobs=self.dispatcher.active_jobs())
        self.dispatcher.is_draining = True
        began_s = self.clock.monotonic()
        limit_s = began_s + self.settings.drain_timeout_s
        # Callers that have not seen the change yet still get a true refusal.
        grace_s = began_s + DRAIN_GRACE_S
        while self._is_busy() or self.clock.monotonic() < grace_s:
            if self.clock.monotonic() >= limit_s:
                break
            time.sleep(DRAIN_POLL_S)
        unanswered = self.dispatcher.active_jobs()
        self.http.stop()
        self._stop_threads()
        self.log.info("entry_stopped", unanswered=unanswered)
        return unanswered == 0

    def _is_busy(self) -> bool:
        return self.dispatcher.active_jobs() > 0 or self.app.active > 0

    def _stop_threads(self) -> None:
        self.stopping.set()
        self.membership.stop()
        with self.dispatcher.lock:
            for link in self.dispatcher.links.values():
                link.close()
        self.threads.shutdown(wait=True)
        self.context.term()

    def _start_link(self, link: EntryLink) -> None:
        self.threads.submit(self._guard, link.run)

    def _run_timer(self) -> None:
        while not self.stopping.wait(TIMER_S):
            self.dispatcher.expire()

    def _guard(self, task) -> None:
        try:
            task()
        except Exception:
            self.log.logger.exception("task_broken")
            raise

    def _readiness(self) -> tuple[bool, str]:
        if self.dispatcher.is_draining:
            return False, "the entry is stopping"
        if self.dispatcher.tree is None:
            return False, "no settings have been read yet"
        return True, ""
