"""Assembles an entry process: its components and graceful shutdown."""

import threading
import time
from collections.abc import Callable

import zmq
from expression import Result

from sardinestair.clock import Clock, SystemClock
from sardinestair.entry.admin import AdminApi
from sardinestair.entry.api import CallerApi
from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.entry.evacuations import EvacuationApi
from sardinestair.entry.gossip import Gossip
from sardinestair.entry.membership_server import MembershipServer
from sardinestair.entry.ownership_exchange import OwnershipExchange
from sardinestair.event_loop import EventLoop, LoopTask
from sardinestair.ids import format_incarnation, new_incarnation
from sardinestair.limits.budget import TeamBudgets
from sardinestair.limits.credit_priority import REST_CLASS
from sardinestair.limits.self_load import EntryDelay
from sardinestair.links import LinkLoop
from sardinestair.membership import PeerDirectory, Roster
from sardinestair.membership.evacuation import read_view
from sardinestair.observability import (
    EventLog,
    Metrics,
    StartStep,
    StartTimes,
    UsageReporter,
)
from sardinestair.observability.usage import read_processor_times
from sardinestair.process_memory import make_context, make_memory_account
from sardinestair.settings import EntrySettings, SettingsTree, parse_tree
from sardinestair.settings.files import SettingsError
from sardinestair.settings.service import SettingsFollower, SettingsWriter
from sardinestair.store.claims import ClaimWriter, delete_old_claims
from sardinestair.store.etcd import EtcdStore
from sardinestair.store.evacuations import (
    EVACUATIONS_PREFIX,
    EvacuationFollower,
    EvacuationWriter,
)
from sardinestair.store.port import Snapshot, Store
from sardinestair.store.registration import (
    RENEWAL_INTERVAL_S,
    EntryRecord,
    Registration,
)
from sardinestair.store.worker import StoreWorker
from sardinestair.tasks import TaskPool
from sardinestair.web import (
    HttpServer,
    ServerRole,
    WebApp,
    monitoring_rules,
)

__all__ = ["EntryProcess"]

DRAIN_POLL_INTERVAL_S = 0.02
# Callers and balancers that have not noticed the drain get a refusal that says
# so, rather than a refused connection.
DRAIN_GRACE_S = 1.0
ACCEPT_BACKLOG_DRAIN_S = 0.2
HTTP_CLOSE_TIMEOUT_S = 2.0
CLAIM_SWEEP_INTERVAL_S = 60.0
MAX_LINKS = 2048
# The settings, the evacuations, the registration and the claims in the store.
MAX_THREADS = 4


class EntryProcess:
    """Runs an entry in an event loop; calls of the store run in threads.

    Args:
        settings: The process's settings.
        clock: The clock.
        event_loop: The event loop; the entry runs one of its own if None.
        process_start_s: When the process started, on `clock`; now if None.

    Attributes:
        start_times: When the entry first reached each step of its start.
        dispatcher: Owns all jobs.
        membership: Receives the announcements of sidecars and entries.
        gossip: Exchanges settings and endpoints with other entries.
        exchange: Exchanges the owners of jobs with other entries.
        http: Serves callers and operators.
        http_role: Whose part of the memory budget `http` uses.
        memory: Account of the memory that HTTP connections hold.
        drain_grace_s: Minimum duration of a drain, in seconds.
    """

    http_role = ServerRole.CALLERS
    drain_grace_s = DRAIN_GRACE_S

    def __init__(
        self,
        settings: EntrySettings,
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
        self.context.set(zmq.MAX_SOCKETS, 4 * MAX_LINKS)
        self.stopping = threading.Event()
        self.adoption_lock = threading.Lock()
        self.next_claim_sweep_s = self.clock.monotonic() + (
            CLAIM_SWEEP_INTERVAL_S
        )
        self.log = EventLog(
            "entry",
            entry=format_incarnation(self.incarnation),
            zone=settings.zone,
        )
        if process_start_s is None:
            process_start_s = self.clock.monotonic()
        self.start_times = StartTimes(
            process_start_s, self.clock, self.metrics, self.log
        )
        self.tasks = TaskPool(MAX_THREADS, self.log)
        self.store = self._make_store()
        self.claims = self._make_claims()
        self.dispatcher = Dispatcher(
            self.incarnation,
            settings.zone,
            self.clock,
            self.metrics,
            self.context,
            settings.link,
            retention_s=settings.retention_s,
            claims=self.claims,
            claim_retention_s=settings.claim_retention_s,
        )
        self.dispatcher.start_times = self.start_times
        self.link_loop = LinkLoop(
            self.dispatcher, self.clock, self.dispatcher.timing
        )
        self.link_task = self._make_task(self.link_loop.run_once, "links")
        self.dispatcher.on_links_ready = self.link_task.wake
        address = settings.address
        self.peers = PeerDirectory("")
        self.membership = MembershipServer(
            f"tcp://{address.host}:{address.link_port or '*'}",
            self.dispatcher,
            Roster(),
            self.peers,
            self.link_loop.add,
            self.context,
        )
        self.membership_task = self._make_task(
            self.membership.run_once, "membership"
        )
        self.timer_task = self._make_task(self._run_periodic_checks, "timer")
        self.gossip = Gossip(
            self.membership,
            lambda announcer: announcer.start(
                self._make_task(announcer.run_once, "gossip")
            ),
            self.adopt,
        )
        self.dispatcher.on_withdrawn = self.gossip.share_withdrawn
        self.exchange = OwnershipExchange(
            self.dispatcher, self.gossip.announcers, self.peers
        )
        self.gossip.observe_reply = self.exchange.observe_reply
        self.exchange.connect = lambda endpoint: self.gossip.add_endpoints(
            [endpoint]
        )
        self.membership.exchange = self.exchange
        self.exchange_task = self._make_task(
            self.exchange.run_once, "ownership"
        )
        self.exchange.wake = self.exchange_task.wake
        self.entry_delay = EntryDelay()
        self.event_loop.on_delay = self._observe_delay
        if settings.count_own_delay:
            controller = self.dispatcher.admission_controller
            controller.entry_delay = self.entry_delay
        self.budgets = self._make_budgets()
        self.memory = make_memory_account(
            settings, self.event_loop, self.log, self.metrics
        )
        self.app = WebApp(self._rules(), settings.max_body_bytes, self.log)
        self.http = HttpServer(
            address.host,
            address.http_port,
            self.app,
            self.event_loop,
            limits=settings.http,
            share=self.memory.shares[self.http_role],
        )
        self.store_workers: list[StoreWorker] = []
        self.usage = UsageReporter(
            self.clock,
            self.metrics,
            self.log,
            self.dispatcher.link_usage,
            lambda: read_processor_times(self.event_loop.busy_s),
            self._read_levels,
        )

    @property
    def membership_endpoint(self) -> str:
        """Endpoint to which sidecars send announcements, as host:port."""
        return self.peers.own_endpoint

    @property
    def http_address(self) -> str:
        """Base URL of the HTTP API."""
        return f"http://{self.settings.address.host}:{self.http.port}"

    def start(self) -> None:
        """Starts to serve."""
        self.start_times.reach(StartStep.LOADED)
        if self.settings.http_threads is not None:
            self.log.warning("setting_ignored", setting="http_threads")
        if self.owns_loop:
            self.event_loop.start()
        self.http.start()
        self.membership.http_address = self.http_address
        self.peers.add_static(self._peer_endpoints(), self.clock.monotonic())
        self.event_loop.call(self._start_tasks)
        if self.store is not None:
            self._follow_store(self.store)
        self.log.info(
            "entry_started",
            http_port=self.http.port,
            membership=self.membership_endpoint,
        )

    def _make_task(
        self, run_once: Callable[[], float], purpose: str
    ) -> LoopTask:
        return LoopTask(self.event_loop, run_once, self.log, purpose)

    def _start_tasks(self) -> None:
        self.link_loop.start(self.link_task)
        self.membership.start(self.membership_task)
        self.timer_task.wake()
        self.gossip.start()

    def _stop_tasks(self) -> None:
        self.gossip.stop()
        self.exchange_task.stop()
        self.timer_task.stop()
        self.membership_task.stop()
        self.membership.close()
        self.dispatcher.close()
        # Reports the tasks of closed links as lost.
        self.link_loop.run_once()
        self.link_loop.close()
        self.link_task.stop()

    def load_tree_file(self) -> Result[None, SettingsError]:
        """Adopts the settings tree of `tree_file`, as revision 1."""
        file = self.settings.tree_file or ""
        with open(file, encoding="utf-8") as stream:
            parsed = parse_tree(stream.read(), file)
        return parsed.map(lambda tree: self.adopt(1, tree)).map(
            lambda _adopted: None
        )

    def adopt(self, revision: int, tree: SettingsTree) -> bool:
        """Adopts a settings tree if its revision is newer.

        Returns:
            False if the revision in force is the same or newer.
        """
        with self.adoption_lock:
            if revision <= self.membership.settings_revision:
                return False
            self.dispatcher.configure(tree)
            self.membership.settings_revision = revision
        self.log.info("settings_adopted", revision=revision)
        self.start_times.reach(StartStep.CONFIGURED)
        return True

    def stop(self) -> bool:
        """Drains the entry, then stops all threads.

        New jobs are refused. Active jobs may end within `drain_timeout_s`;
        those left are failed.

        Returns:
            True if all jobs ended within the drain timeout.
        """
        self.log.info("drain_started", jobs=self.dispatcher.count_active_jobs())
        self.dispatcher.admission_controller.is_draining = True
        self.app.is_closing = True
        began_s = self.clock.monotonic()
        limit_s = began_s + self.settings.drain_timeout_s
        grace_s = began_s + self.drain_grace_s
        while self._is_busy() or self.clock.monotonic() < grace_s:
            if self.clock.monotonic() >= limit_s:
                break
            time.sleep(DRAIN_POLL_INTERVAL_S)
        unanswered = self.dispatcher.count_active_jobs()
        self.event_loop.call(
            lambda: self.dispatcher.fail_active_jobs("the entry is stopping")
        )
        self._close_http()
        if self.budgets is not None:
            self.budgets.close()
        self._shut_down()
        self.log.info("entry_stopped", unanswered=unanswered)
        return unanswered == 0

    def _peer_endpoints(self) -> list[str]:
        return self.settings.peers

    def _make_store(self) -> Store | None:
        store = self.settings.store
        if store is None:
            return None
        return EtcdStore(store.endpoints, store.prefix, store.timeout_s)

    def _make_claims(self) -> ClaimWriter | None:
        if self.store is None:
            return None
        return ClaimWriter(
            self.store,
            self.incarnation,
            lambda: self.http_address,
            self.clock,
            self.metrics,
            self.settings.claim_wait_s,
            on_first_claim=self._start_claims,
        )

    def _make_budgets(self) -> TeamBudgets | None:
        if self.store is None:
            return None
        budget_of = self.dispatcher.admission_controller.monthly_budget
        return TeamBudgets(self.store, self.clock, budget_of)

    def _rules(self):
        writer = SettingsWriter(self.store, self.clock) if self.store else None
        admin = AdminApi(
            self.dispatcher, writer, lambda: self.membership.settings_revision
        )
        rules = CallerApi(
            self.dispatcher, self.event_loop, self._live_peers, self.budgets
        ).rules()
        rules += admin.rules()
        evacuations = self._make_evacuation_writer()
        rules += EvacuationApi(self.dispatcher, evacuations).rules()
        return rules + monitoring_rules(self.metrics, self._readiness)

    def _make_settings_follower(self) -> SettingsFollower:
        assert self.store is not None
        return SettingsFollower(self.store, self._adopt_from_store)

    def _make_evacuation_writer(self) -> EvacuationWriter | None:
        return EvacuationWriter(self.store, self.clock) if self.store else None

    def _make_evacuation_follower(self) -> EvacuationFollower | None:
        assert self.store is not None
        return EvacuationFollower(self.store, self._read_evacuations)

    def _read_evacuations(self, snapshot: Snapshot) -> None:
        self.dispatcher.observe_evacuations(
            read_view(snapshot, EVACUATIONS_PREFIX)
        )

    def _adopt_from_store(self, revision: int, tree: SettingsTree) -> bool:
        return self.event_loop.call(lambda: self.adopt(revision, tree))

    def _registration_interval_s(self) -> float:
        return RENEWAL_INTERVAL_S

    def _follow_store(self, store: Store) -> None:
        follower = self._make_settings_follower()
        record = EntryRecord(
            self.incarnation.hex(), self.membership_endpoint, self.http_address
        )
        registration = Registration(
            store,
            record,
            self._handle_registered_entries,
            self._registration_interval_s(),
        )
        self.store_workers = [follower, registration]
        evacuations = self._make_evacuation_follower()
        if evacuations is not None:
            self.store_workers.append(evacuations)
            self.tasks.run(evacuations.run, "store/evacuations")
        self.tasks.run(follower.run, "store/settings")
        self.tasks.run(registration.run, "store/registration")

    def _delete_old_claims(self) -> None:
        assert self.store is not None
        now_s = self.clock.now().timestamp()
        retention_s = self.settings.claim_retention_s
        count = delete_old_claims(self.store, now_s, retention_s)
        if count:
            self.log.info("claims_deleted", count=count)

    def _start_claims(self) -> None:
        """Starts the thread that writes claims, before the first claim."""
        assert self.claims is not None
        self.tasks.run(self.claims.run, "store/claims")

    def _handle_registered_entries(self, records: list[EntryRecord]) -> None:
        """Adds registered entries; called by the thread that renews."""
        now_s = self.clock.monotonic()
        if now_s >= self.next_claim_sweep_s:
            self.next_claim_sweep_s = now_s + CLAIM_SWEEP_INTERVAL_S
            self._delete_old_claims()
        endpoints = [record.endpoint for record in records]
        self.event_loop.call(lambda: self.gossip.add_endpoints(endpoints))

    def _live_peers(self):
        return self.peers.recently_seen(
            self.clock.monotonic(), self.gossip.peer_timeout_s
        )

    def _servers(self) -> list[HttpServer]:
        return [self.http]

    def _close_http(self) -> None:
        """Stops all HTTP servers after they have answered active requests."""
        servers = self._servers()
        for server in servers:
            server.refuse_connections()
        time.sleep(ACCEPT_BACKLOG_DRAIN_S)
        limit_s = self.clock.monotonic() + HTTP_CLOSE_TIMEOUT_S
        while any(server.app.active_requests for server in servers):
            if self.clock.monotonic() >= limit_s:
                break
            time.sleep(DRAIN_POLL_INTERVAL_S)
        for server in servers:
            server.stop()

    def _is_busy(self) -> bool:
        if self.dispatcher.count_active_jobs() > 0:
            return True
        return any(server.app.active_requests for server in self._servers())

    def _shut_down(self) -> None:
        self.stopping.set()
        for worker in self.store_workers:
            worker.stop()
        if self.claims is not None:
            self.claims.stop()
        self.tasks.close()
        self.event_loop.call(self._stop_tasks)
        if self.owns_loop:
            self.event_loop.stop()
        self.context.term()

    def _run_periodic_checks(self) -> float:
        self.dispatcher.run_periodic_checks()
        return self.dispatcher.next_check_delay_s()

    def report_usage(self) -> None:
        """Reports the processor time by purpose and the counters of links."""
        if self.usage.report_if_due():
            self.dispatcher.publish_speeds()

    def _observe_delay(self, delay_s: float) -> None:
        self.entry_delay.observe(delay_s, self.clock.monotonic())

    def _read_levels(self) -> dict[str, float]:
        levels = {
            "job_delay_s": self.entry_delay.job_delay_s,
            "longest_request_wait_s": self.event_loop.take_longest_delay_s(),
            "active_jobs": self.dispatcher.count_active_jobs(),
        }
        with self.dispatcher.lock:
            now_s = self.clock.monotonic()
            for state in self.dispatcher.services.values():
                backlog_s = state.load_view.backlog_s(REST_CLASS, now_s)
                if backlog_s is not None:
                    longest_s = levels.get("backlog_s", 0.0)
                    levels["backlog_s"] = max(longest_s, backlog_s)
        return levels

    def reload(self, settings: EntrySettings) -> None:
        """Adds new peers; other changed settings apply after a restart."""
        self.event_loop.call(lambda: self.gossip.add_endpoints(settings.peers))

    def _readiness(self) -> tuple[bool, str]:
        if self.dispatcher.admission_controller.is_draining:
            return False, "the entry is stopping"
        if self.dispatcher.tree is None:
            return False, "no settings have been received yet"
        return True, ""
