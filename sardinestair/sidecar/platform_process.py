"""Assembles a sidecar process on the users' platform."""

import functools
import threading
from collections.abc import Callable
from concurrent.futures import Future

from sardinestair.clock import Clock, SystemClock
from sardinestair.event_loop import EventLoop
from sardinestair.launch import LaunchContext
from sardinestair.membership.evacuation import read_view
from sardinestair.observability import StartStep
from sardinestair.platform.heartbeats import HeartbeatApi
from sardinestair.platform.names import link_endpoints
from sardinestair.platform.operator import EVACUATION_PREFIX
from sardinestair.platform.orders import HttpRunClient
from sardinestair.platform.store import PlatformStore
from sardinestair.settings import SidecarSettings
from sardinestair.settings.process import SidecarPlatform, split_address
from sardinestair.sidecar.process import SidecarProcess
from sardinestair.store.registration import read_entries
from sardinestair.tasks import abort_process
from sardinestair.upstreams import Announcement, LeasedUpstream
from sardinestair.web import HttpServer, ServerRole, WebApp

__all__ = ["PlatformSidecarProcess"]

# A heartbeat has less than 1 KB.
MAX_HEARTBEAT_BYTES = 64 << 10
# New entries and evacuations are usually learned sooner, from the replies of
# entries. An evacuation must be in force within 5 s (platform figure).
STORE_POLL_INTERVAL_S = 2.0


class PlatformSidecarProcess(SidecarProcess):
    """Runs tasks at the local runner, and discovers entries in the store.

    Args:
        settings: The process's settings; `platform` is required.
        clock: The clock.
        event_loop: The event loop; the sidecar runs one of its own if None.
        launched: Start time of the process, and a socket that already listens
            for heartbeats.

    Attributes:
        runner: Client of the runner.
        heartbeats: HTTP server for the runner's heartbeats.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        clock: Clock | None = None,
        event_loop: EventLoop | None = None,
        launched: LaunchContext | None = None,
    ):
        assert settings.platform is not None
        self.platform: SidecarPlatform = settings.platform
        if launched is None:
            launched = LaunchContext((clock or SystemClock()).monotonic())
        super().__init__(settings, clock, event_loop, launched.process_start_s)
        self.stopping = threading.Event()
        self.renewals: Future[None] | None = None
        self.store = PlatformStore(self.platform.store_address)
        self.run_client = HttpRunClient(self.platform.runner_address)
        self.runner = LeasedUpstream(
            self.run_client,
            self.clock,
            settings.link.lease_s,
            self.metrics,
            self.server.report_upstream_lost,
            launched.process_start_s,
        )
        self.runner.lease.before_renewal = self.server.sessions.stop_expired
        self.runner.orphans.on_none_left = self._handle_clear
        self.server.availability.make_caller = self._make_caller
        api = HeartbeatApi(
            self.server,
            self.platform.heartbeat_ttl_s,
            lambda: self.runner.incarnation_ms,
        )
        self.runner.on_incarnation = api.handle_reported
        api.on_runner = self._handle_runner
        host, port = split_address(self.platform.heartbeat_address)
        self.heartbeats = HttpServer(
            host,
            port,
            WebApp(api.rules(), MAX_HEARTBEAT_BYTES, self.log),
            self.event_loop,
            launched.listener,
            settings.http,
            share=self.memory.shares[ServerRole.SYSTEM],
        )

    def start(self) -> None:
        """Starts to serve, and to announce the sidecar."""
        super().start()
        self.renewals = self.event_loop.run_coroutine(self._run_runner())
        self.heartbeats.start()
        self.tasks.run(self._poll_store, "store/entries")

    def stop(self) -> bool:
        """Accepts no new tasks, finishes those that run, and ends all threads.

        Returns:
            True if all outcomes were acknowledged before the drain time-out.
        """
        self.stopping.set()
        return super().stop()

    def reload(self, settings: SidecarSettings) -> None:
        """Applies a changed list of seeds; other settings need a restart."""
        assert settings.platform is not None
        self.platform = settings.platform
        self.event_loop.call(lambda: self._update_announcers([]))

    def _read_levels(self) -> dict[str, float]:
        pool = self.run_client.order_transfers
        return super()._read_levels() | {
            "longest_order_wait_s": pool.take_longest_wait_s()
        }

    def _handle_runner(self, runner: str) -> None:
        """Names the runner that starts are meant for."""
        self.run_client.instance = runner

    def _handle_clear(self) -> None:
        """Grants credits now that no run of an earlier sidecar is left."""
        self.start_times.reach(StartStep.CLEAR)
        self.server.wake()

    def _make_caller(
        self, _announcement: Announcement, _on_lost: Callable[[], None]
    ) -> LeasedUpstream:
        return self.runner

    def _configured_entries(self) -> list[str]:
        link_port = self.settings.address.link_port
        return link_endpoints(self.platform.seeds, link_port)

    def _poll_store(self) -> None:
        """Reads entries and evacuated zones from the store periodically."""
        while not self.stopping.is_set():
            self._read_entries()
            self._read_evacuations()
            self.stopping.wait(STORE_POLL_INTERVAL_S)

    def _read_entries(self) -> None:
        found = read_entries(self.store, may_be_stale=True)
        if found.is_error():
            self.log.warning("store_unanswered", reason=found.error.reason)
            return
        endpoints = [record.endpoint for record in found.ok]
        self.event_loop.call(
            functools.partial(self._update_announcers, endpoints)
        )

    def _read_evacuations(self, may_be_stale: bool = True) -> None:
        """Reads the evacuated zones, in case that no entry reports them.

        Entries usually report them sooner, and also when they end. A stale read
        costs little, but can't show that an evacuation has ended.
        """
        found = self.store.read(EVACUATION_PREFIX, may_be_stale)
        if found.is_error():
            self.log.warning("store_unanswered", reason=found.error.reason)
            return
        view = read_view(found.ok, EVACUATION_PREFIX, may_be_stale)
        self.event_loop.call(
            functools.partial(self.server.observe_evacuations, view)
        )
        if may_be_stale and self.server.availability.evacuations.is_outdated_by(
            view
        ):
            self._read_evacuations(may_be_stale=False)

    async def _run_runner(self) -> None:
        try:
            await self.runner.run()
        except Exception:
            self.log.logger.exception("invariant_broken")
            abort_process()

    def _shut_down(self) -> None:
        self.heartbeats.stop()
        self.event_loop.call(self.runner.close)
        if self.renewals is not None:
            self.renewals.result()
        self.event_loop.call(self.run_client.close)
        super()._shut_down()
