"""Typed messages between entries and sidecars, encoded as MessagePack.

Messages of a link travel in an `EntryFrame` or a `SidecarFrame`, which names
the sender, the epoch of the link and a sequence number within the epoch. One
frame may carry several messages, so that acknowledgements and credits are
piggybacked on other messages. Announcements and the messages between entries
are sent without a frame.
"""

import enum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from sardinestair.ids import Incarnation, JobId
from sardinestair.limits.load_view import ClassLoad
from sardinestair.limits.resources import Resources

__all__ = [
    "DECODE_ERRORS",
    "MAX_GENERATION",
    "Acknowledge",
    "Announce",
    "AnnounceReply",
    "Cancel",
    "CrashReport",
    "CreditReturn",
    "Demand",
    "EntryFrame",
    "EntryMessage",
    "EvacuationView",
    "Grant",
    "KindSlowdown",
    "Leaving",
    "Outcome",
    "OwnershipRequest",
    "OwnershipBatch",
    "OwnershipState",
    "OwnershipUpdate",
    "OwnershipReply",
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
    "UpstreamStatus",
]


MAX_GENERATION = 127
"""Highest generation of the ownership of a job, which has 7 bits."""

Generation: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_GENERATION)]

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What a decoder raises for invalid data; the last one if values are nested too
deeply."""


class TaskState(enum.Enum):
    """State of a task as a sidecar reports it.

    An INTERRUPTED task was started but ended from outside without a result: it
    was stopped, its lease expired, or its upstream restarted.
    """

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"


class TaskRef(msgspec.Struct, array_like=True, frozen=True):
    """Identifies one attempt to run a task.

    Attributes:
        job: The job's id.
        index: The task's position in the job.
        attempt: Number of the attempt, starting at 1.
    """

    job: JobId
    index: int
    attempt: int


class Resume(msgspec.Struct, array_like=True, tag="R"):
    """Opens an epoch and requests the state of tasks.

    Attributes:
        sidecar: The incarnation of the sidecar that the entry expects.
        tasks: The attempts that the entry has outstanding at the sidecar.
    """

    sidecar: Incarnation
    tasks: list[TaskRef]


class Start(msgspec.Struct, array_like=True, tag="S"):
    """Requests the start of a task, which spends credits.

    Attributes:
        task: The attempt.
        remaining_s: Time left until the job's deadline, in seconds.
        payload: The request body for the upstream.
        need: The resources that the task needs, or None if not declared.
        units: The credits that the entry has spent on it; 0 if not specified.
        kind: The kind of its job.
        priority: Priority of its job; 0 goes before 1.
        expected_s: Its expected run time on a typical upstream, in seconds; 0
            if not specified.
    """

    task: TaskRef
    remaining_s: float
    payload: bytes
    need: Resources | None = None
    units: int = 0
    kind: str = ""
    priority: int = 0
    expected_s: float = 0.0


class Cancel(msgspec.Struct, array_like=True, tag="C"):
    """Cancels tasks; their results are discarded."""

    tasks: list[TaskRef]


class Stop(msgspec.Struct, array_like=True, tag="T"):
    """Stops tasks that are running; their outcomes are still reported."""

    tasks: list[TaskRef]


class Demand(msgspec.Struct, array_like=True, tag="D"):
    """Reports the backlog of the entry.

    Attributes:
        count: Credits needed to start all waiting tasks.
        urgency_s: Sort key of the first waiting task relative to now, in
            seconds; a smaller one is served first.
        head_units: Credits that this task needs.
        priority: Priority of its job, or above 100 if the job is late; 0 goes
            before 1.
        class_units: Part of `count` for tasks of this priority; 0 if all are.
    """

    count: int
    urgency_s: float
    head_units: int = 1
    priority: int = 0
    class_units: int = 0


class CreditReturn(msgspec.Struct, array_like=True, tag="B"):
    """Returns unused credits.

    Attributes:
        total: Cumulative number of credits returned in this epoch.
    """

    total: int


class Acknowledge(msgspec.Struct, array_like=True, tag="A"):
    """Acknowledges outcomes, which the sidecar may then forget."""

    tasks: list[TaskRef]


class Resumed(msgspec.Struct, array_like=True, tag="r"):
    """Answers a `Resume`.

    Attributes:
        accepted: False if the `Resume` named another incarnation.
        not_run: Those of the attempts that have not started and never will.
        held: Those of the attempts that are running.
    """

    accepted: bool
    not_run: list[TaskRef]
    held: list[TaskRef]


class Outcome(msgspec.Struct, array_like=True, tag="o"):
    """Reports how a task ended; resent in each epoch until acknowledged.

    Attributes:
        task: The attempt.
        state: How it ended.
        body: The response of the upstream, or a reason in UTF-8.
        is_json: True if the body is a JSON value.
        run_s: Run time at the upstream, in seconds.
        has_crashed: True if the upstream's process ended while the task ran;
            `run_s` then counts until that end.
        is_confirmed: False if the task may not have begun.
        start_s: Part of `run_s` until the upstream had taken the start, in
            seconds.
    """

    task: TaskRef
    state: TaskState
    body: bytes
    is_json: bool
    run_s: float
    has_crashed: bool = False
    is_confirmed: bool = True
    start_s: float = 0.0


class Grant(msgspec.Struct, array_like=True, tag="g"):
    """Grants credits.

    Attributes:
        total: Cumulative number of credits granted in this epoch.
    """

    total: int


class Recall(msgspec.Struct, array_like=True, tag="b"):
    """Requests the return of unused credits.

    The entry always replies with a `CreditReturn`.

    Attributes:
        count: Largest number of credits to return.
    """

    count: int


class CrashReport(msgspec.Struct, array_like=True, tag="c"):
    """Reports a crash of the upstream to an entry that has no part in it.

    The caller may submit the job to that entry next. It is no `Outcome`, as
    the entry may have started the same attempt itself.

    Attributes:
        task: The attempt that was running, of another entry.
        run_s: Its run time until the crash, in seconds.
        is_confirmed: False if the task may not have begun.
    """

    task: TaskRef
    run_s: float
    is_confirmed: bool = True


class Leaving(msgspec.Struct, array_like=True, tag="l"):
    """States that the upstream accepts no new tasks."""


EntryMessage: TypeAlias = (
    Resume | Start | Cancel | Stop | Demand | CreditReturn | Acknowledge
)
SidecarMessage: TypeAlias = (
    Resumed | Outcome | CrashReport | Grant | Recall | Leaving
)


class EntryFrame(msgspec.Struct, array_like=True):
    """A frame from an entry to a sidecar.

    Attributes:
        sender: The entry's incarnation.
        epoch: Epoch of the link.
        sequence: Number of the frame within the epoch, starting at 1.
        messages: The messages; a frame without any is a heartbeat.
        echo_s: `sent_s` of the latest frame received from this sidecar, on
            the sidecar's clock; the session's length is counted from it.
        backlog: The entry's waiting work by class, divided by the number of
            its links; None if it has changed little.
    """

    sender: Incarnation
    epoch: int
    sequence: int
    messages: list[EntryMessage]
    echo_s: float = 0.0
    backlog: list[ClassLoad] | None = None


class SidecarFrame(msgspec.Struct, array_like=True):
    """A frame from a sidecar to an entry; other fields as in `EntryFrame`.

    Attributes:
        sent_s: When it was sent, on the sidecar's clock.
        load: Sum of the `backlog` of all other entries; None if it has changed
            little.
    """

    sender: Incarnation
    epoch: int
    sequence: int
    messages: list[SidecarMessage]
    sent_s: float = 0.0
    load: list[ClassLoad] | None = None


class KindSlowdown(msgspec.Struct, array_like=True, frozen=True):
    """Run times of one kind of job at an upstream.

    Attributes:
        kind: The kind of job.
        slowdown: Run time relative to a typical upstream.
        samples: Number of runs that the estimate rests on.
    """

    kind: str
    slowdown: float
    samples: int


class UpstreamStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a sidecar reports of its upstream beside its capacity.

    Attributes:
        leaves_in_s: Time until the upstream leaves, in seconds, or None if it
            has not said that it will.
        cold_s: Time for which it is still slow after its start, in seconds.
        rack: Its rack, or empty if unknown.
        slowdowns: Observed run times by kind of job.
        observed_ago_s: Age of the latest of these observations, in seconds.
    """

    leaves_in_s: float | None = None
    cold_s: float = 0.0
    rack: str = ""
    slowdowns: list[KindSlowdown] = []
    observed_ago_s: float = 0.0


class EvacuationView(msgspec.Struct, array_like=True, frozen=True):
    """The evacuated availability zones as far as the sender was informed.

    Attributes:
        revision: Revision of the store at which all zones were read; 0 if they
            never were.
        zones: The evacuated zones, each with the revision of the store at which
            its evacuation was requested. It may be above `revision`.
    """

    revision: int = 0
    zones: dict[str, int] = {}


class Announce(msgspec.Struct, array_like=True, tag="N"):
    """Announces a sidecar and its upstream to an entry.

    Attributes:
        sidecar: The sidecar's incarnation.
        endpoint: ZeroMQ endpoint of its links.
        zone: Its availability zone.
        service: Service of the upstream, or empty if there is no upstream.
        slots: Credit units of the upstream; without a capacity, the number of
            tasks that it runs concurrently.
        leaving: True if no new tasks are accepted.
        settings_revision: Revision of the settings that it has applied.
        capacity: Resources of the upstream, or None if it only counts slots.
        is_leased: True if the upstream's tasks end with the session of the
            entry that started them.
        status: Further state of the upstream, or None from sidecars of earlier
            versions.
        evacuations: The evacuated zones.
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
    status: UpstreamStatus | None = None
    evacuations: EvacuationView = EvacuationView()


class OwnershipBatch(msgspec.Struct, array_like=True, frozen=True):
    """The jobs that an entry owns, in a message to another entry.

    Attributes:
        owner: Membership endpoint of the owner.
        ids: Ids of the jobs, packed.
        states: For each the number of times that it has changed its owner,
            plus 128 if it is complete.
        first: Position of the first one in the sender's log, or -1 if the
            sender is not the owner.
        base: Position of the earliest one that is left in the sender's log.
    """

    owner: str
    ids: list[bytes]
    states: bytes
    first: int = -1
    base: int = 0

    def __post_init__(self) -> None:
        """Checks the lengths.

        Raises:
            ValueError: If ids and states differ in number.
        """
        if len(self.ids) != len(self.states):
            raise ValueError("ids and states must be of the same number")


class OwnershipState(enum.Enum):
    """What an entry replies to a request for the ownership of a job.

    GRANTED: the other entry is the owner now. ACTIVE: the job runs, or runs of
    it are being stopped. MOVED: a third entry is the owner. UNKNOWN: the entry
    has no record of the job, and must not decide.
    """

    GRANTED = "granted"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MOVED = "moved"
    UNKNOWN = "unknown"


class OwnershipRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests the ownership of a job that was submitted again.

    Attributes:
        number: Number of the request, which the reply repeats.
        job: Id of the job, packed.
        generation: Generation of the sender's record.
        unreachable: Endpoints of owners that did not reply.
        is_arbiter: True if the recipient decides in place of these.
        may_repeat: True if the job may run again after it has failed.
        needs_answer: True if knowing that the job is complete is not enough.
        withdraws: True if the job is only to be cancelled, for its caller.
    """

    number: int
    job: bytes
    generation: Generation
    unreachable: list[str]
    is_arbiter: bool
    may_repeat: bool
    needs_answer: bool
    withdraws: bool = False


class OwnershipReply(msgspec.Struct, array_like=True, frozen=True):
    """Answers an `OwnershipRequest`.

    Attributes:
        number: Number of the request.
        state: What the entry has decided.
        owner: Endpoint of the owner if it is known.
        generation: Generation of the ownership.
    """

    number: int
    state: OwnershipState
    owner: str = ""
    generation: Generation = 0


class OwnershipUpdate(msgspec.Struct, array_like=True, tag="O"):
    """Records, requests and replies about owners of jobs.

    Attributes:
        endpoint: Membership endpoint of the sender.
        entry: The sender's incarnation.
        batches: Records.
        requests: Requests for the ownership of jobs.
        replies: Replies to requests of the recipient.
        withdrawn: Jobs that their callers have cancelled, packed.
    """

    endpoint: str
    entry: Incarnation
    batches: list[OwnershipBatch] = []
    requests: list[OwnershipRequest] = []
    replies: list[OwnershipReply] = []
    withdrawn: list[bytes] = []


class PeerHello(msgspec.Struct, array_like=True, tag="P"):
    """Announces an entry to another entry.

    Attributes:
        entry: The entry's incarnation.
        endpoint: Its membership endpoint, host:port.
        http_address: Base URL of its HTTP API.
        settings_revision: Revision of the settings tree that it has applied.
        withdrawn: Jobs that its callers have cancelled lately.
        evacuations: The evacuated zones.
        shares_owners: True if it takes part in exchanging the owners of jobs;
            entries of earlier versions don't.
    """

    entry: Incarnation
    endpoint: str
    http_address: str
    settings_revision: int
    withdrawn: list[JobId] = []
    evacuations: EvacuationView = EvacuationView()
    shares_owners: bool = False


class PeerReply(msgspec.Struct, array_like=True):
    """Answers a `PeerHello`.

    Attributes:
        entry: The replying entry's incarnation.
        http_address: Base URL of its HTTP API.
        entries: Membership endpoints of all entries known to it.
        settings_revision: Revision of the settings tree that it has applied.
        settings: The tree as JSON, or empty if the other entry is up to date.
        evacuations: The evacuated zones.
        owned_received: Number of records of jobs that it has received from
            the other entry, or -1 from entries of earlier versions.
    """

    entry: Incarnation
    http_address: str
    entries: list[str]
    settings_revision: int
    settings: bytes
    evacuations: EvacuationView = EvacuationView()
    owned_received: int = -1


class AnnounceReply(msgspec.Struct, array_like=True):
    """Answers an `Announce`.

    Attributes:
        entry: The replying entry's incarnation.
        entries: Membership endpoints of all entries known to it.
        settings_revision: Revision of `settings`.
        settings: The sidecar's effective settings as JSON, or empty if it
            is up to date.
        evacuations: The evacuated zones.
    """

    entry: Incarnation
    entries: list[str]
    settings_revision: int
    settings: bytes
    evacuations: EvacuationView = EvacuationView()
