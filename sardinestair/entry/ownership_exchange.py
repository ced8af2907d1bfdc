"""Exchanges records of the owners of jobs with the other entries."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable

import msgspec

from sardinestair.entry.dispatcher import Dispatcher
from sardinestair.ids import Incarnation, pack_job_id, unpack_job_id
from sardinestair.membership import Announcer, PeerDirectory
from sardinestair.messages import (
    OwnershipBatch,
    OwnershipReply,
    OwnershipRequest,
    OwnershipUpdate,
    PeerReply,
)
from sardinestair.observability import EventLog

__all__ = ["OwnershipExchange"]

# No caller submits a job again sooner than 1.3 s after its connection broke, so
# other entries are informed in time, with many jobs in a message.
MIN_INTERVAL_S = 0.25
MAX_INTERVAL_S = 1.0
MAX_MESSAGES_PER_S = 16.0
# While entries end, start or are silent, jobs are submitted again and more
# entries may be lost.
DISTURBED_S = 5.0
DISTURBED_DIVISOR = 5.0
# A message with two batches, cancelled jobs, requests and replies stays below
# the maximum size of one between entries, 64 KiB.
MAX_RECORDS = 800
MAX_REQUESTS = 100
REPLY_TIMEOUT_S = 0.3
# An entry that has not replied gets no further request within this time.
RETRY_AFTER_S = 0.5
# More than an interval of its messages, so that one that is late counts.
SILENCE_MARGIN_S = 0.2
IDLE_DELAY_S = 3600.0


class _Outbox:
    """What is to be sent to one entry.

    Attributes:
        incarnation: Incarnation of the entry.
        position: Position in the own log from which records are to be sent.
        batches: Records of other entries.
        requests: Requests for the ownership of jobs.
        replies: Replies to its requests.
        withdrawn: Jobs that their callers have cancelled.
    """

    def __init__(self, incarnation: Incarnation):
        self.incarnation = incarnation
        self.position = 0
        self.batches: list[OwnershipBatch] = []
        self.requests: list[OwnershipRequest] = []
        self.replies: list[OwnershipReply] = []
        self.withdrawn: list[bytes] = []

    @property
    def is_empty(self) -> bool:
        """True if nothing but own records may be due."""
        return not (
            self.batches or self.requests or self.replies or self.withdrawn
        )


class OwnershipExchange:
    """Sends own records to all other entries, and requests and replies.

    Its methods are called in one thread, that of the event loop. Records are
    sent again if a reply to a `PeerHello` shows that they were lost. An entry
    that has started receives all records that are kept, also those of entries
    that have ended.

    Args:
        dispatcher: The entry's dispatcher.
        announcers: Announcer to each other entry, by its endpoint.
        peers: The known entries.

    Attributes:
        outboxes: What is to be sent, by the endpoint of an entry that has
            shown that it takes part.
        received: Incarnation and number of records received, by sender.
        pending: Futures of the replies, by the number of the request.
        retry_s: Time from which a silent entry gets requests again.
        due_s: When records are due to be sent, or None if there are none.
        disturbed_until_s: Time until which records are sent sooner.
        wake: Makes `run_once` be called soon.
        connect: Adds an announcer to an entry that has announced itself.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        announcers: dict[str, Announcer[PeerReply]],
        peers: PeerDirectory,
    ):
        self.dispatcher = dispatcher
        self.announcers = announcers
        self.peers = peers
        self.directory = dispatcher.directory
        self.outboxes: dict[str, _Outbox] = {}
        self.received: dict[str, tuple[Incarnation, int]] = {}
        self.pending: dict[int, asyncio.Future[OwnershipReply | None]] = {}
        self.numbers = itertools.count(1)
        self.retry_s: defaultdict[str, float] = defaultdict(float)
        self.due_s: float | None = None
        self.disturbed_until_s = 0.0
        self.wake: Callable[[], None] = lambda: None
        self.connect: Callable[[str], None] = lambda _endpoint: None
        self.log = EventLog("ownership")
        self.directory.on_added = self.notify
        dispatcher.takeover.send_request = self.send_request
        dispatcher.takeover.entries = lambda: list(peers.peers)

    @property
    def interval_s(self) -> float:
        """Longest time until other entries are informed, in seconds."""
        interval_s = len(self.outboxes) / MAX_MESSAGES_PER_S
        interval_s = min(max(interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)
        now_s = self.dispatcher.clock.monotonic()
        present = self._present_peers(now_s)
        if any(peer not in present for peer in self.announcers):
            self.disturbed_until_s = now_s + DISTURBED_S
        is_disturbed = now_s < self.disturbed_until_s
        return interval_s / DISTURBED_DIVISOR if is_disturbed else interval_s

    def notify(self, is_urgent: bool = False) -> None:
        """Sends new records within the interval, or at once."""
        if self.due_s is not None and not is_urgent:
            return
        now_s = self.dispatcher.clock.monotonic()
        self.due_s = now_s if is_urgent else now_s + self.interval_s
        self.wake()

    def run_once(self) -> float:
        """Sends what is due.

        Returns:
            The time until something is due, in seconds.
        """
        if self.due_s is None:
            return IDLE_DELAY_S
        now_s = self.dispatcher.clock.monotonic()
        if now_s < self.due_s:
            return self.due_s - now_s
        self.due_s = None
        for endpoint, outbox in list(self.outboxes.items()):
            if endpoint in self.announcers:
                self._send(endpoint, outbox)
            else:
                # The entry has not been seen for long.
                del self.outboxes[endpoint]
        return IDLE_DELAY_S if self.due_s is None else 0.0

    def add_peer(self, endpoint: str, incarnation: Incarnation) -> None:
        """Adds another entry, or a new incarnation of it."""
        outbox = self.outboxes.get(endpoint)
        if outbox is None or outbox.incarnation != incarnation:
            now_s = self.dispatcher.clock.monotonic()
            self.disturbed_until_s = now_s + DISTURBED_S
            outbox = self.outboxes[endpoint] = _Outbox(incarnation)
            outbox.batches = self._records_of_absent(endpoint)
            withdrawn = self.dispatcher.withdrawn.added_s
            outbox.withdrawn = [pack_job_id(job_id) for job_id in withdrawn]
            if endpoint not in self.announcers:
                self.connect(endpoint)
            self.notify(is_urgent=True)

    def observe_reply(
        self, endpoint: str, incarnation: Incarnation, received: int
    ) -> None:
        """Notes how many records an entry has received, in order to repeat.

        Args:
            endpoint: Its membership endpoint.
            incarnation: Its incarnation.
            received: Number of own records; -1 from an earlier version.
        """
        if received < 0:
            return
        self.add_peer(endpoint, incarnation)
        outbox = self.outboxes[endpoint]
        if received < outbox.position:
            outbox.position = received
            self.notify(is_urgent=True)

    def received_from(self, endpoint: str, incarnation: Incarnation) -> int:
        """Returns the number of records received from an entry."""
        known, count = self.received.get(endpoint, (incarnation, 0))
        return count if known == incarnation else 0

    def handle_update(self, update: OwnershipUpdate) -> None:
        """Handles a message of another entry."""
        sender = update.endpoint
        for batch in update.batches:
            self.dispatcher.observe_owners(batch)
            if batch.first >= 0:
                count = self.received_from(sender, update.entry)
                count = max(count, batch.base)
                if batch.first <= count:
                    count = max(count, batch.first + len(batch.ids))
                self.received[sender] = (update.entry, count)
        if update.withdrawn:
            self.dispatcher.handle_withdrawn(
                [unpack_job_id(packed) for packed in update.withdrawn]
            )
        self.retry_s.pop(sender, None)
        for reply in update.replies:
            self._resolve(reply.number, reply)
        outbox = self.outboxes.get(sender)
        if outbox is not None and update.requests:
            decide = self.dispatcher.takeover.arbiter.decide
            outbox.replies += [
                decide(request, sender) for request in update.requests
            ]
            self.notify(is_urgent=True)

    async def send_request(
        self, endpoint: str, request: OwnershipRequest
    ) -> OwnershipReply | None:
        """Sends a request to another entry.

        Returns:
            The reply, or None if the entry does not reply.
        """
        outbox = self.outboxes.get(endpoint)
        now_s = self.dispatcher.clock.monotonic()
        if outbox is None or now_s < self.retry_s[endpoint]:
            return None
        number = next(self.numbers)
        loop = asyncio.get_running_loop()
        reply = self.pending[number] = loop.create_future()
        outbox.requests.append(msgspec.structs.replace(request, number=number))
        self.notify(is_urgent=True)
        timer = loop.call_later(REPLY_TIMEOUT_S, self._resolve, number, None)
        try:
            result = await reply
        finally:
            timer.cancel()
            self.pending.pop(number, None)
        if result is None:
            self.retry_s[endpoint] = (
                self.dispatcher.clock.monotonic() + RETRY_AFTER_S
            )
            self.log.info("owner_silent", entry_endpoint=endpoint)
        return result

    def _resolve(self, number: int, reply: OwnershipReply | None) -> None:
        future = self.pending.get(number)
        if future is not None and not future.done():
            future.set_result(reply)

    def _records_of_absent(self, endpoint: str) -> list[OwnershipBatch]:
        """Returns records that their owners can't send to an entry.

        They belong to entries that have not been seen lately, and to earlier
        incarnations of the entry itself.
        """
        now_s = self.dispatcher.clock.monotonic()
        present = self._present_peers(now_s) | {self.directory.own_endpoint}
        absent = self.directory.owners - present | {endpoint}
        return [
            part
            for batch in self.directory.records_of(absent)
            for part in _split(batch)
        ]

    def _present_peers(self, now_s: float) -> set[str]:
        """Returns the endpoints of the entries that have been seen lately."""
        present = set()
        for peer in self.peers.peers.values():
            announcer = self.announcers.get(peer.endpoint)
            if announcer is not None:
                limit_s = announcer.interval_s + SILENCE_MARGIN_S
                if now_s - peer.last_seen_s <= limit_s:
                    present.add(peer.endpoint)
        return present

    def _send(self, endpoint: str, outbox: _Outbox) -> None:
        records = self.directory.own_since(outbox.position, MAX_RECORDS)
        if outbox.is_empty and not records.ids:
            return
        batches = [records] if records.ids else []
        batches += outbox.batches[:1]
        update = OwnershipUpdate(
            self.directory.own_endpoint,
            self.dispatcher.incarnation,
            batches,
            outbox.requests[:MAX_REQUESTS],
            outbox.replies[:MAX_REQUESTS],
            outbox.withdrawn[:MAX_RECORDS],
        )
        if not self.announcers[endpoint].send(update):
            return
        outbox.position = records.first + len(records.ids)
        del outbox.batches[:1]
        del outbox.requests[:MAX_REQUESTS]
        del outbox.replies[:MAX_REQUESTS]
        del outbox.withdrawn[:MAX_RECORDS]
        if not outbox.is_empty or outbox.position < self.directory.end:
            self.notify(is_urgent=True)


def _split(batch: OwnershipBatch) -> list[OwnershipBatch]:
    """Returns batches of a bounded size."""
    return [
        OwnershipBatch(
            batch.owner,
            batch.ids[start : start + MAX_RECORDS],
            batch.states[start : start + MAX_RECORDS],
        )
        for start in range(0, len(batch.ids), MAX_RECORDS)
    ]
