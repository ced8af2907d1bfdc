"""An entry that serves the clients of the users' platform."""

import threading
import time

import msgspec

from sardinestair.clock import Clock
from sardinestair.entry.process import EntryProcess
from sardinestair.event_loop import EventLoop
from sardinestair.launch import LaunchContext
from sardinestair.membership.evacuation import read_view
from sardinestair.observability import StartStep
from sardinestair.platform.callers import ClientApi
from sardinestair.platform.names import link_endpoints
from sardinestair.platform.operator import (
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    read_configuration,
)
from sardinestair.platform.store import PlatformStore
from sardinestair.settings import EntrySettings, SettingsTree
from sardinestair.settings.process import EntryPlatform, split_address
from sardinestair.settings.records import VersionedTree
from sardinestair.settings.service import SettingsFollower
from sardinestair.settings.tree import Overrides
from sardinestair.store.port import Snapshot
from sardinestair.web import HttpServer, ServerRole, WebApp, monitoring_rules

__all__ = ["PlatformEntryProcess"]

# A configuration change must be in force within 2 s (platform figure). A watch
# reports it at once; reading again this often finds what a watch has missed.
REREAD_INTERVAL_S = 1.0
# Entries whose registration has expired are registered again within 2 s of the
# store's return.
REGISTRATION_INTERVAL_S = 1.0
# Enough for a few reads of a slow store. After that, clients are refused for
# want of a configuration.
CONFIGURATION_WAIT_S = 1.0


class PlatformEntryProcess(EntryProcess):
    """Serves the platform's clients in addition to the entry's own API.

    Args:
        settings: The process's settings; `platform` is required.
        clock: The clock.
        event_loop: The event loop; the entry runs one of its own if None.
        launched: How the program was launched. Its listener, if any, accepts
            the clients' connections.

    Attributes:
        configured: Set once a configuration has been adopted.
        client_server: Serves the clients.
        readiness_server: Serves the balancer's readiness checks.
        is_leaving: True once the entry has been requested to stop.
    """

    # Callers have a server of their own.
    http_role = ServerRole.SYSTEM
    # `stop` has already served clients for `leave_s` when the drain begins.
    drain_grace_s = 0.0

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock | None = None,
        event_loop: EventLoop | None = None,
        launched: LaunchContext | None = None,
    ):
        assert settings.platform is not None
        self.platform: EntryPlatform = settings.platform
        self.is_leaving = False
        self.configured = threading.Event()
        super().__init__(
            settings,
            clock,
            event_loop,
            None if launched is None else launched.process_start_s,
        )
        api = ClientApi(self.dispatcher, self.event_loop)
        self.client_app = WebApp(
            api.rules(), settings.max_body_bytes, self.log, api.check_header
        )
        host, port = split_address(self.platform.client_address)
        self.client_server = HttpServer(
            host,
            port,
            self.client_app,
            self.event_loop,
            None if launched is None else launched.listener,
            settings.http,
            share=self.memory.shares[ServerRole.CALLERS],
        )
        host, port = split_address(self.platform.readiness_address)
        readiness_app = WebApp(
            monitoring_rules(self.metrics, self._readiness), 1024, self.log
        )
        self.readiness_server = HttpServer(
            host,
            port,
            readiness_app,
            self.event_loop,
            limits=settings.http,
            share=self.memory.shares[ServerRole.SYSTEM],
        )

    def start(self) -> None:
        """Starts to serve, clients last."""
        if self.platform.client_threads is not None:
            self.log.warning(
                "setting_ignored", setting="platform.client_threads"
            )
        super().start()
        self.readiness_server.start()
        # Early connections wait in the listen backlog for the configuration.
        if not self.configured.wait(CONFIGURATION_WAIT_S):
            self.log.warning("configuration_late", wait_s=CONFIGURATION_WAIT_S)
        self.client_server.start()
        self.start_times.reach(StartStep.SERVING)

    def adopt(self, revision: int, tree: SettingsTree) -> bool:
        """Adopts a settings tree if its revision is newer."""
        is_adopted = super().adopt(revision, tree)
        if is_adopted:
            self.configured.set()
        return is_adopted

    def stop(self) -> bool:
        """Leaves the balancer, serving for `leave_s` longer, then drains.

        Returns:
            True if all jobs ended within the drain timeout.
        """
        self.is_leaving = True
        self.client_app.is_closing = True
        self.log.info(
            "leaving_balancer",
            jobs=self.dispatcher.count_active_jobs(),
            serves_on_s=self.platform.leave_s,
        )
        time.sleep(self.platform.leave_s)
        # Other entries may be stopping as well: accept every job that can
        # still be answered.
        drain_s = self.settings.drain_timeout_s
        until_s = self.clock.monotonic() + drain_s
        self.dispatcher.admission_controller.drain_deadline_s = until_s
        return super().stop()

    def reload(self, settings: EntrySettings) -> None:
        """Adds new peers; other changed settings apply after a restart."""
        assert settings.platform is not None
        endpoints = link_endpoints(
            settings.platform.seeds, settings.address.link_port
        )
        self.event_loop.call(lambda: self.gossip.add_endpoints(endpoints))

    def _make_store(self) -> PlatformStore:
        return PlatformStore(self.platform.store_address)

    def _peer_endpoints(self) -> list[str]:
        link_port = self.settings.address.link_port
        return link_endpoints(self.platform.seeds, link_port)

    def _make_settings_follower(self) -> SettingsFollower:
        assert self.store is not None
        return SettingsFollower(
            self.store,
            self.adopt,
            OPERATOR_PREFIX,
            self._read_tree,
            REREAD_INTERVAL_S,
            self._read_evacuations,
        )

    def _make_evacuation_writer(self) -> None:
        """Returns None: the platform's operator evacuates zones."""

    def _make_evacuation_follower(self) -> None:
        """Returns None: evacuations are read with the configuration."""

    def _read_evacuations(self, snapshot: Snapshot) -> None:
        self.dispatcher.observe_evacuations(
            read_view(snapshot, EVACUATION_PREFIX)
        )

    def _read_tree(self, snapshot: Snapshot) -> VersionedTree | None:
        """Reads the operator's configuration on top of the entry's defaults."""
        found = read_configuration(snapshot)
        if found is not None:
            found.tree.set = self._default_overrides()
        return found

    def _default_overrides(self) -> Overrides:
        factor = self.platform.remote_factor
        if factor is None:
            return self.platform.defaults
        return msgspec.structs.replace(
            self.platform.defaults, remote_factor=factor
        )

    def _registration_interval_s(self) -> float:
        return REGISTRATION_INTERVAL_S

    def _servers(self) -> list[HttpServer]:
        return [self.client_server, self.readiness_server, *super()._servers()]

    def _readiness(self) -> tuple[bool, str]:
        if self.is_leaving:
            return False, "the entry is leaving the balancer"
        ready, reason = super()._readiness()
        if ready and not self.dispatcher.has_available_upstreams():
            return False, "no upstream accepts work yet"
        return ready, reason
