"""Typed messages between entries and sidecars, encoded as MessagePack.

Every message travels inside a `Frame`, which names the sender, the epoch of
the link and a sequence number within the epoch. One frame may carry several
messages, so that acknowledgements and credits ride on other traffic.
"""

import enum
from typing import TypeAlias

import msgspec

from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.resources import Resources

__all__ = [
    "Acknowledge",
    "Announce",
    "AnnounceReply",
    "Cancel",
    "CreditReturn",
    "Demand",
    "EntryFrame",
    "EntryMessage",
    "Grant",
    "Leaving",
    "Outcome",
    "PeerHello",
    "PeerReply",
    "Recall",
    "Resume",
    "Resumed",
    "SidecarFrame",
    "SidecarMessage",
    "Start",
    "Stop",
    "TaskRef",
    "TaskState",
]


class TaskState(enum.Enum):
    """State of a task as a sidecar reports it.

    INTERRUPTED says that a task began and was ended without a result by other
    than itself: it was stopped, its lease lapsed, or its upstream restarted.
    """

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"


class TaskRef(msgspec.Struct, array_like=True, frozen=True):
    """Names one attempt to start a task.

    Attributes:
        job: The job's id.
        index: The task's position in the job.
        attempt: Number of the attempt, from 1.
    """

    job: JobId
    index: int
    attempt: int


class Resume(msgspec.Struct, array_like=True, tag="R"):
    """Opens an epoch and asks for the state of tasks.

    Attributes:
        sidecar: The incarnation that the entry expects to meet.
        tasks: The attempts that the entry believes the sidecar to hold.
    """

    sidecar: Incarnation
    tasks: list[TaskRef]


class Start(msgspec.Struct, array_like=True, tag="S"):
    """Asks the sidecar to start a task, spending its credits.

    Attributes:
        task: The attempt.
        remaining_s: Time left until the job's deadline, in seconds.
        payload: The request body for the upstream.
        need: What the task needs, or None if it was not said.
    """

    task: TaskRef
    remaining_s: float
    payload: bytes
    need: Resources | None = None


class Cancel(msgspec.Struct, array_like=True, tag="C"):
    """Names tasks whose results are no longer wanted."""

    tasks: list[TaskRef]


class Stop(msgspec.Struct, array_like=True, tag="T"):
    """Names tasks to be stopped if they run; their ends are still wanted."""

    tasks: list[TaskRef]


class Demand(msgspec.Struct, array_like=True, tag="D"):
    """Tells how much work waits at the entry.

    Attributes:
        count: Credits with which all waiting tasks could start.
        urgency_s: Order key of the first task relative to now, in seconds;
            smaller is more urgent.
        head_units: Credits that the first task needs.
    """

    count: int
    urgency_s: float
    head_units: int = 1


class CreditReturn(msgspec.Struct, array_like=True, tag="B"):
    """Gives credits back.

    Attributes:
        total: All credits given back in this epoch so far.
    """

    total: int


class Acknowledge(msgspec.Struct, array_like=True, tag="A"):
    """Confirms outcomes, which the sidecar may then forget."""

    tasks: list[TaskRef]


class Resumed(msgspec.Struct, array_like=True, tag="r"):
    """Answers a `Resume`.

    Attributes:
        accepted: False if the `Resume` named another incarnation.
        not_run: The attempts asked about that have not started and never
            will.
        held: The attempts asked about that are running.
    """

    accepted: bool
    not_run: list[TaskRef]
    held: list[TaskRef]


class Outcome(msgspec.Struct, array_like=True, tag="o"):
    """Reports how a task ended; repeated on each epoch until acknowledged.

    Attributes:
        task: The attempt.
        state: How it ended.
        body: The answer of the upstream, or a reason in UTF-8.
        is_json: True if the body is a JSON value.
        run_s: Time at the upstream in seconds.
    """

    task: TaskRef
    state: TaskState
    body: bytes
    is_json: bool
    run_s: float


class Grant(msgspec.Struct, array_like=True, tag="g"):
    """Hands out credits.

    Attributes:
        total: All credits granted in this epoch so far.
    """

    total: int


class Recall(msgspec.Struct, array_like=True, tag="b"):
    """Asks for unused credits back; a `CreditReturn` always answers it.

    Attributes:
        count: How many credits at most.
    """

    count: int


class Leaving(msgspec.Struct, array_like=True, tag="l"):
    """Tells that the upstream takes no new work."""


EntryMessage: TypeAlias = (
    Resume | Start | Cancel | Stop | Demand | CreditReturn | Acknowledge
)
SidecarMessage: TypeAlias = Resumed | Outcome | Grant | Recall | Leaving


class EntryFrame(msgspec.Struct, array_like=True):
    """A frame from an entry to a sidecar.

    Attributes:
        sender: The entry's incarnation.
        epoch: Epoch of the link.
        sequence: Number of the frame within the epoch, from 1.
        messages: The messages; none makes a heartbeat.
        echo_s: `sent_s` of the latest frame that arrived from this sidecar,
            on the sidecar's clock; the session's lease counts from it.
    """

    sender: Incarnation
    epoch: int
    sequence: int
    messages: list[EntryMessage]
    echo_s: float = 0.0


class SidecarFrame(msgspec.Struct, array_like=True):
    """A frame from a sidecar to an entry; fields as in `EntryFrame`.

    Attributes:
        sent_s: When it was sent, on the sidecar's clock.
    """

    sender: Incarnation
    epoch: int
    sequence: int
    messages: list[SidecarMessage]
    sent_s: float = 0.0


class Announce(msgspec.Struct, array_like=True, tag="N"):
    """A sidecar tells an entry about itself and its upstream.

    Attributes:
        sidecar: The sidecar's incarnation.
        endpoint: ZeroMQ endpoint of its links.
        zone: Its availability zone.
        service: Service of the upstream, or empty if there is none.
        slots: Credit units of the upstream; tasks that it runs at a time if
            it has no capacity.
        leaving: True if no new work is taken.
        settings_revision: Revision of the settings that it has adopted.
        capacity: Resources of the upstream, or None if it only counts slots.
        is_leased: True if the upstream's tasks end with the link's session.
    """

    sidecar: Incarnation
    endpoint: str
    zone: str
    service: str
    slots: int
    leaving: bool
    settings_revision: int
    capacity: Resources | None = None
    is_leased: bool = False


class PeerHello(msgspec.Struct, array_like=True, tag="P"):
    """An entry tells another entry about itself.

    Attributes:
        entry: The entry's incarnation.
        endpoint: Its membership endpoint, host:port.
        http_address: Base URL of its HTTP API.
        settings_revision: Revision of the settings tree in force.
    """

    entry: Incarnation
    endpoint: str
    http_address: str
    settings_revision: int


class PeerReply(msgspec.Struct, array_like=True):
    """An entry answers another entry.

    Attributes:
        entry: The answering entry's incarnation.
        http_address: Base URL of its HTTP API.
        entries: Membership endpoints of all entries that it knows.
        settings_revision: Revision of the settings tree in force.
        settings: The tree as JSON, or empty if the asker has this revision.
    """

    entry: Incarnation
    http_address: str
    entries: list[str]
    settings_revision: int
    settings: bytes


class AnnounceReply(msgspec.Struct, array_like=True):
    """An entry answers an announcement.

    Attributes:
        entry: The entry's incarnation.
        entries: Membership endpoints of all entries that it knows.
        settings_revision: Revision of `settings`.
        settings: The sidecar's effective settings as JSON, or empty if it
            has this revision already.
    """

    entry: Incarnation
    entries: list[str]
    settings_revision: int
    settings: bytes
