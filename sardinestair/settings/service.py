"""Changes the settings tree in the store and follows its changes."""

import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.messages import DECODE_ERRORS
from sardinestair.observability import EventLog
from sardinestair.outcomes import Problem, ProblemKind
from sardinestair.settings.edit import difference, edit_node
from sardinestair.settings.records import (
    SETTINGS_PREFIX,
    Change,
    VersionedTree,
    decode_tree,
    swaps_between,
)
from sardinestair.settings.tree import SettingsTree, check_tree
from sardinestair.store.port import Snapshot, Store, StoreError, Swap
from sardinestair.store.worker import StoreWorker

__all__ = ["Applied", "SettingsFollower", "SettingsWriter"]

WATCH_DURATION_S = 60.0
RETRY_DELAY_S = 0.5
COMMIT_RETRY_LIMIT_S = 5.0
COMMIT_RETRY_DELAY_S = 0.1


class Applied(msgspec.Struct, frozen=True):
    """An accepted change.

    Attributes:
        revision: Revision of the tree after the change.
        difference: Changed values, one line per value.
    """

    revision: int
    difference: list[str]


class SettingsWriter:
    """Applies operators' changes by compare-and-swap.

    Args:
        store: Key-value store that holds the tree.
        clock: Clock for timestamps and the retry limit.
    """

    def __init__(self, store: Store, clock: Clock):
        self.store = store
        self.clock = clock

    def read(self) -> Result[VersionedTree, Problem]:
        """Reads the tree from the store."""
        result = self.store.read(SETTINGS_PREFIX)
        if result.is_error():
            return Error(_unavailable(result.error))
        try:
            return Ok(decode_tree(result.ok))
        except DECODE_ERRORS as error:
            return Error(_unreadable(str(error)))

    def apply(
        self, desired: SettingsTree, expected_revision: int | None, author: str
    ) -> Result[Applied, Problem]:
        """Replaces the tree.

        Args:
            desired: New tree.
            expected_revision: Revision that the tree must have, or None for
                any.
            author: Author of the change.

        Returns:
            The applied change, or the problem. If another operator has
            changed the tree meanwhile, nothing is written and the problem
            describes the difference from the current tree.
        """
        return self.read().bind(
            lambda current: self._write(
                current, desired, expected_revision, author
            )
        )

    def edit(
        self,
        path: str,
        values: dict[str, Any],
        unset: list[str],
        expected_revision: int | None,
        author: str,
    ) -> Result[Applied, Problem]:
        """Changes values of one node.

        Args:
            path: Path of the node, such as `root/quotes/leinster`.
            values: Values to set, by name.
            unset: Names of the values to inherit again.
            expected_revision: Revision that the tree must have, or None for
                any.
            author: Author of the change.

        Returns:
            The applied change, or the problem.
        """
        return self.read().bind(
            lambda current: edit_node(current.tree, path, values, unset).bind(
                lambda desired: self._write(
                    current, desired, expected_revision, author
                )
            )
        )

    def _write(
        self,
        current: VersionedTree,
        desired: SettingsTree,
        expected_revision: int | None,
        author: str,
    ) -> Result[Applied, Problem]:
        checked = check_tree(desired)
        if checked.is_error():
            return Error(_invalid(str(checked.error)))
        lines = difference(current.tree, desired)
        if (
            expected_revision is not None
            and expected_revision != current.revision
        ):
            return Error(_conflict(current.revision, expected_revision, lines))
        change = Change(uuid.uuid4().hex, author, self.clock.now(), lines)
        swaps = swaps_between(current, desired, change)
        if not swaps:
            return Ok(Applied(current.revision, []))
        return self._commit(current, desired, swaps, change)

    def _commit(
        self,
        current: VersionedTree,
        desired: SettingsTree,
        swaps: list[Swap],
        change: Change,
    ) -> Result[Applied, Problem]:
        retry_until_s = self.clock.monotonic() + COMMIT_RETRY_LIMIT_S
        while True:
            answer = self.store.commit(swaps)
            if answer.is_ok():
                break
            if self.clock.monotonic() > retry_until_s:
                return Error(_outcome_unknown(answer.error))
            # Retrying the same swaps is safe: they can take effect only once,
            # and the change id shows whether an earlier attempt did.
            time.sleep(COMMIT_RETRY_DELAY_S)
        if answer.ok.succeeded:
            return Ok(Applied(answer.ok.revision, change.difference))
        return self._resolve_failed_commit(current, desired, change)

    def _resolve_failed_commit(
        self, current: VersionedTree, desired: SettingsTree, change: Change
    ) -> Result[Applied, Problem]:
        """Decides whether a failed commit lost a race or was a repetition.

        A commit also fails if an earlier attempt, whose answer was lost, has
        already taken effect; the stored history then contains its change id.
        """
        result = self.read()
        if result.is_error():
            return Error(result.error)
        latest = result.ok
        stored_ids = {
            c.change_id for r in latest.records.values() for c in r.changes
        }
        if change.change_id in stored_ids:
            return Ok(Applied(latest.revision, change.difference))
        lines = difference(latest.tree, desired)
        return Error(_conflict(latest.revision, current.revision, lines))


def decode_stored_tree(snapshot: Snapshot) -> VersionedTree | None:
    """Decodes the settings tree; returns None if no settings are stored."""
    return decode_tree(snapshot) if snapshot.items else None


class SettingsFollower(StoreWorker):
    """Watches the settings tree in the store and reports each change.

    Args:
        store: Key-value store that holds the tree.
        on_tree: Called with the revision and the tree, possibly again with
            one that is not newer, which it must ignore.
        prefix: Prefix of the keys that hold the tree.
        decode: Decodes the tree from its keys; returns None if there is none.
        watch_duration_s: Duration of one watch, in seconds; the tree is read
            again before each watch.
        on_snapshot: Called with all keys that were read, before the tree is
            decoded.

    Attributes:
        is_watching: True while a watch is established.
    """

    def __init__(
        self,
        store: Store,
        on_tree: Callable[[int, SettingsTree], Any],
        prefix: str = SETTINGS_PREFIX,
        decode: Callable[[Snapshot], VersionedTree | None] = decode_stored_tree,
        watch_duration_s: float = WATCH_DURATION_S,
        on_snapshot: Callable[[Snapshot], Any] = lambda _snapshot: None,
    ):
        super().__init__()
        self.store = store
        self.on_tree = on_tree
        self.prefix = prefix
        self.decode = decode
        self.watch_duration_s = watch_duration_s
        self.on_snapshot = on_snapshot
        self.is_watching = False
        self.log = EventLog("settings")

    def run_once(self) -> float:
        """Reads the tree and watches it; returns the delay after an error.

        A watch ends within about a second of `stop`.
        """
        result = self.refresh()
        if result.is_error():
            self.is_watching = False
            return RETRY_DELAY_S
        self._watch(result.ok + 1)
        return 0.0

    def refresh(self) -> Result[int, StoreError]:
        """Reads the tree and passes it to `on_tree`.

        Returns:
            Revision of the store.
        """
        result = self.store.read(self.prefix)
        if result.is_error():
            return Error(result.error)
        self.on_snapshot(result.ok)
        try:
            versioned = self.decode(result.ok)
        except DECODE_ERRORS as error:
            # The settings in force stay until a later change can be decoded.
            self.log.error(
                "settings_undecodable",
                revision=result.ok.revision,
                reason=str(error),
            )
            return Ok(result.ok.revision)
        if versioned is not None:
            self.on_tree(versioned.revision, versioned.tree)
        return Ok(result.ok.revision)

    def _watch(self, from_revision: int) -> None:
        def on_change(revision: int) -> bool:
            self.is_watching = True
            if revision:
                self.refresh_on_other_connection()
            return not self.stopping.is_set()

        result = self.store.watch(
            self.prefix,
            from_revision,
            on_change,
            self.watch_duration_s,
            self.stopping.is_set,
        )
        if result.is_error() and not self.stopping.is_set():
            self.is_watching = False
            self.log.warning("watch_ended", reason=result.error.reason)

    def refresh_on_other_connection(self) -> None:
        """Reads the tree in another thread, while the watch is running.

        Connections are per thread, and that of this thread is busy with the
        watch.
        """
        reader = threading.Thread(target=self.refresh, daemon=True)
        reader.start()
        reader.join()


def _unavailable(error: StoreError) -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        f"the store did not answer: {error.reason}",
        not_run=True,
        retry_after_s=1.0,
    )


def _unreadable(reason: str) -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        f"the stored settings can't be decoded; nothing was changed: {reason}",
        not_run=True,
    )


def _outcome_unknown(error: StoreError) -> Problem:
    return Problem(
        ProblemKind.UNAVAILABLE,
        f"the store did not answer, so the change may or may not have been "
        f"applied; read the settings before repeating it: {error.reason}",
        not_run=False,
        retry_after_s=1.0,
    )


def _invalid(message: str) -> Problem:
    return Problem(ProblemKind.INVALID, message, not_run=True)


def _conflict(latest: int, expected: int, lines: list[str]) -> Problem:
    shown = "; ".join(lines) or "none"
    return Problem(
        ProblemKind.CONFLICT,
        f"the settings are at revision {latest}, not {expected}; nothing was "
        f"changed. Difference from the current settings: {shown}",
        not_run=True,
    )
