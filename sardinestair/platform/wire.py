"""Schemas of the platform's JSON messages.

Fields that have another name on the wire are listed in `rename`. Unknown
fields are ignored; a field of the wrong type fails the decoding.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from sardinestair.decoding import count_object
from sardinestair.endpoints import check_endpoint
from sardinestair.limits.resources import Resources

__all__ = [
    "Capacity",
    "Configuration",
    "ConfiguredRoute",
    "ConfiguredService",
    "Heartbeat",
    "ItemReply",
    "LeaseReply",
    "LeaseRequest",
    "RangeReply",
    "RefusalReply",
    "RunnerCapacity",
    "ReportReply",
    "ReportRequest",
    "StartRequest",
    "Step",
    "StopRequest",
    "StoreItem",
    "SubmittedJob",
    "TransactionReply",
    "TransactionRequest",
    "WatchReply",
]

# Larger numbers are not exact in JSON, and too large ones can't be passed on.
MAX_COUNT = 2**53

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[int, Meta(ge=0)]


class Capacity(msgspec.Struct, rename={"cpu_millis": "cpu"}, frozen=True):
    """Resources of a runner, or of one task.

    Attributes:
        cpu_millis: CPU in thousandths of a core.
        mem_mb: Memory in MB.
        gpu: Number of accelerators.
    """

    cpu_millis: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0

    def to_resources(self) -> Resources:
        """Returns the capacity as `Resources`."""
        return Resources(self.cpu_millis, self.mem_mb, self.gpu)


# Messages to and from runners.


class RunnerCapacity(Capacity, kw_only=True, frozen=True):
    """Resources of a runner, which names them also if they are 0."""

    cpu_millis: Count
    mem_mb: Count


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    rename={
        "min_remaining_ms": "drain_remaining_ms",
        "cold_ms": "cold_left_ms",
    },
):
    """Status that a runner reports periodically.

    Attributes:
        service: Service that the runner belongs to.
        address: Address at which the runner accepts requests, host:port.
        zone: Availability zone of the runner.
        state: `ready` or `draining`.
        capacity: Resources of the runner.
        sequence: Sequence number of the heartbeat within the incarnation.
        slots: Maximum number of concurrent requests; not meaningful for a
            runner with a capacity.
        born: Start time of the runner's incarnation in Unix milliseconds; 0
            if unknown.
        clock_ms: Monotonic clock of the runner, in milliseconds.
        min_remaining_ms: While draining, the minimum time until the runner
            leaves, in milliseconds.
        labels: Kind and rack of the runner.
        cold_ms: Time for which the runner is still slow after its start, in
            milliseconds.
    """

    service: Annotated[str, Meta(min_length=1)]
    address: str
    zone: str
    state: str
    capacity: RunnerCapacity
    sequence: Count
    slots: Count = 0
    born: Count = 0
    clock_ms: Count = 0
    min_remaining_ms: Count | None = None
    labels: list[str] = []
    cold_ms: Count = 0

    def __post_init__(self) -> None:
        """Checks the address.

        Raises:
            ValueError: If it is not host:port.
        """
        check_endpoint(self.address)


class StartRequest(
    msgspec.Struct,
    rename={"latest_start_ms": "until_ms"},
    omit_defaults=True,
):
    """Request to start a run.

    Attributes:
        task: Name of the task.
        run_id: Number of the attempt.
        spec: Work to run.
        latest_start_ms: Latest time at which the run may start, on the
            runner's clock. The lease of all runs at the runner is extended to
            this time, and never shortened.
    """

    task: str
    run_id: int
    spec: str
    latest_start_ms: int


class StopRequest(msgspec.Struct):
    """Request to stop a run."""

    task: str
    run_id: int


class RefusalReply(msgspec.Struct):
    """Reason why a runner rejected a start."""

    reason: str = ""


class ReportRequest(
    msgspec.Struct,
    omit_defaults=True,
    rename={"acknowledged": "ack_seq", "lease_until_ms": "until_ms"},
):
    """Request to renew the lease of all runs and to report their state.

    Attributes:
        acknowledged: The runner may forget ends up to this sequence number.
        wait_ms: Longest wait for a run to end.
        lease_until_ms: When the lease ends, on the runner's clock; None leaves
            it unchanged.
    """

    acknowledged: int
    wait_ms: int
    lease_until_ms: int | None = None


class ReportReply(msgspec.Struct):
    """Active and finished runs of a runner.

    Attributes:
        clock_ms: Monotonic clock of the runner, in milliseconds.
        active: Rows of task name, attempt, checkpoint, percent done and, if
            reported, the usage over the last half second.
        finished: Rows of sequence number, task name, attempt, kind of end and
            checkpoint.
        born: Start time of the runner's incarnation in Unix milliseconds.
    """

    clock_ms: Count
    active: list[list[str | int | float]]
    finished: list[list[str | int | float]]
    born: Count = 0


# Requests of clients.


class Step(
    msgspec.Struct,
    rename={
        "cpu_millis": "cpu",
        "estimated_ms": "est_ms",
        "is_gang": "gang",
        "needs_same_rack": "same_rack",
        "preferred_rack": "affinity",
        "is_long_running": "long_running",
        "uses_leftover_cpu": "fills",
    },
):
    """One step of a job, called a phase on the wire.

    Attributes:
        count: Number of tasks.
        cpu_millis: CPU of a task, in thousandths of a core.
        mem_mb: Memory of a task, in MB.
        gpu: Number of accelerators of a task.
        estimated_ms: Rough estimate of a task's run time.
        after: Indices of the steps that must end first.
        checkpointing: Whether tasks save their progress.
        is_gang: Whether all tasks must run at the same time.
        needs_same_rack: Whether tasks are slower if spread over racks.
        required_label: Label that the runner must have.
        preferred_rack: Rack on which tasks run faster.
        max_per_server: Maximum number of tasks on one runner, 0 for no limit.
        speculative: Whether copies of a task may run concurrently.
        is_long_running: Whether tasks run until the job is cancelled.
        image: Program that the tasks run.
        target_ms: Upper bound on the response time of long-running tasks.
        uses_leftover_cpu: Whether tasks use idle CPU instead of reserving it.
        may_miss: Number of tasks that may be unavailable at the same time.
    """

    count: Annotated[int, Meta(ge=1)]
    cpu_millis: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: Annotated[float, Meta(ge=0)] = 0
    after: list[int] = []
    checkpointing: bool = False
    is_gang: bool = False
    needs_same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_server: Count = 0
    speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: Annotated[float, Meta(ge=0)] = 0
    uses_leftover_cpu: bool = False
    may_miss: Count = 0

    def __post_init__(self) -> None:
        """Counts the step, so that decoding ends at the first one too many.

        Raises:
            ValueError: If there are too many.
        """
        count_object()

    def to_resources(self) -> Resources:
        """Returns the resources that one task needs."""
        return Resources(self.cpu_millis, self.mem_mb, self.gpu)


class SubmittedJob(
    msgspec.Struct,
    rename={"steps": "phases", "is_long_running": "long_running"},
):
    """A job as submitted by a client.

    Attributes:
        spec: Work that the tasks run.
        steps: Steps of the job.
        best_effort: Whether the job may be kept in memory only.
        is_long_running: Whether the tasks run until the job is cancelled.
        repeat_count: Number of scheduled repetitions; 0 runs the job once,
            immediately.
    """

    spec: Annotated[str, Meta(max_length=4000)]
    steps: Annotated[list[Step], Meta(min_length=1)]
    best_effort: bool = False
    is_long_running: bool = False
    repeat_count: Count = 0


# Configuration by the operator.


class ConfiguredRoute(
    msgspec.Struct,
    frozen=True,
    rename={
        "objective_stretch": "stretch",
        "objective_ms": "target_duration_ms",
    },
):
    """A route, which identifies a queue of jobs.

    Attributes:
        name: Name of the route.
        host: Host to which requests are addressed.
        prefix: Prefix of the path of requests.
        service: Service whose runners run the tasks.
        timeout_ms: Deadline of requests that don't give one.
        priority: Priority of the jobs; 0 is the highest.
        max_attempts: Number of failed runs after which a task has failed.
        objective_stretch: Factor in the response time objective, which is
            the run time of the longest chain of steps times this factor,
            plus `objective_ms`.
        objective_ms: Constant part of the response time objective.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Annotated[float, Meta(gt=0)]
    priority: Count = 0
    max_attempts: Annotated[int, Meta(ge=1)] = 1
    objective_stretch: Annotated[float, Meta(ge=0)] = 0
    objective_ms: Annotated[float, Meta(ge=0)] = 0


class ConfiguredService(msgspec.Struct, frozen=True):
    """A service and the properties of its runners.

    Attributes:
        name: Name of the service.
        enforces_capacity: Whether runners reject runs that exceed their
            capacity.
    """

    name: str
    enforces_capacity: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """The operator's complete configuration.

    Attributes:
        version: Version number; increases with each change, not always by 1.
        routes: Routes of all services.
        services: Services of the deployment.
    """

    version: Count
    routes: list[ConfiguredRoute]
    services: list[ConfiguredService]


# Calls of the metadata store.


class StoreItem(msgspec.Struct):
    """A key with its value, or a change of a key in the reply to a watch.

    Attributes:
        key: Key.
        value: Value, encoded in base64.
        revision: Revision of the key's last change.
        deleted: In a watch, whether the key was deleted.
    """

    key: str
    value: str = ""
    revision: int = 0
    deleted: bool = False


class ItemReply(StoreItem, rename={"store_revision": "at_rev"}):
    """A single item, with the revision of the store."""

    store_revision: int = 0


class RangeReply(msgspec.Struct, rename={"store_revision": "at_rev"}):
    """A page of items.

    Attributes:
        items: Items of this page.
        store_revision: Revision of the store.
        more_pages: Whether another page follows.
    """

    items: list[StoreItem]
    store_revision: int
    more_pages: bool = False


class WatchReply(msgspec.Struct, rename={"store_revision": "at_rev"}):
    """Changes of watched keys; the next watch continues at `store_revision`."""

    events: list[StoreItem]
    store_revision: int


class Precondition(msgspec.Struct):
    """Precondition on the revision of a key; 0 if it must not exist."""

    key: str
    revision: int


class PutOperation(msgspec.Struct, omit_defaults=True):
    """A key to write, with its value in base64."""

    key: str
    value: str
    lease: int = 0


class TransactionRequest(msgspec.Struct, rename={"deletes": "remove"}):
    """Writes that are applied together or not at all."""

    expected: list[Precondition]
    puts: list[PutOperation]
    deletes: list[str]


class TransactionReply(msgspec.Struct):
    """The revision of a transaction, or the keys whose precondition failed."""

    revision: int = 0
    items: list[StoreItem] = []


class LeaseRequest(msgspec.Struct):
    """Request for a lease."""

    ttl_ms: int


class LeaseReply(msgspec.Struct):
    """A granted lease."""

    lease: int
