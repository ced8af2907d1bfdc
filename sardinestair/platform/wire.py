"""The platform's messages, decoded into types that say what they hold.

A comment stands where the name on the wire says something else. Unknown
fields are ignored; a field of the wrong type makes the message unreadable.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from sardinestair.limits.resources import Resources

__all__ = [
    "Capacity",
    "Configuration",
    "ConfiguredRoute",
    "ConfiguredService",
    "Heartbeat",
    "HoldReply",
    "HoldRequest",
    "ItemReply",
    "ItemRow",
    "LeaseReply",
    "LeaseRequest",
    "RangeReply",
    "RefusedOrder",
    "RunStart",
    "RunStop",
    "Step",
    "SubmittedJob",
    "TransactionReply",
    "TransactionRequest",
    "WatchReply",
]

Count = Annotated[int, Meta(ge=0)]
Milliseconds = Annotated[int, Meta(ge=0)]


class Capacity(msgspec.Struct, rename={"cpu_millis": "cpu"}, frozen=True):
    """Resources of a runner, or of one task.

    Attributes:
        cpu_millis: Processor in thousandths of a core.
        mem_mb: Memory in MB.
        gpu: Accelerators.
    """

    cpu_millis: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0

    def to_resources(self) -> Resources:
        """Returns it in the product's terms."""
        return Resources(self.cpu_millis, self.mem_mb, self.gpu)


# Runners.


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    rename={"least_time_left_ms": "drain_remaining_ms"},
):
    """What a runner says of itself.

    Attributes:
        service: Service that it answers for.
        address: Where it takes orders, host:port.
        zone: Its availability zone.
        state: `ready` or `draining`.
        capacity: Its resources.
        sequence: Rises with each heartbeat of a life.
        slots: Requests at a time; says nothing where there is a capacity.
        born: Start of this life in Unix milliseconds; 0 if it was not said.
        clock_ms: Its steady clock.
        least_time_left_ms: Least time until it leaves, while it drains.
        labels: Its kind and its rack.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: Capacity
    sequence: Count
    slots: Count = 0
    born: Count = 0
    clock_ms: Count = 0
    least_time_left_ms: Count | None = None
    labels: list[str] = []


class RunStart(
    msgspec.Struct,
    rename={"latest_start_ms": "until_ms"},
    omit_defaults=True,
):
    """Starts a run.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        spec: What it runs.
        latest_start_ms: On the runner's clock; it also ends the lease of all
            runs there, unless that lasts longer already.
    """

    task: str
    run_id: int
    spec: str
    latest_start_ms: int


class RunStop(msgspec.Struct):
    """Stops a run."""

    task: str
    run_id: int


class RefusedOrder(msgspec.Struct):
    """Why a runner did not carry out an order."""

    reason: str = ""


class HoldRequest(
    msgspec.Struct,
    omit_defaults=True,
    rename={"acknowledged": "ack_seq", "lease_until_ms": "until_ms"},
):
    """Renews the lease of all runs, and asks for their state.

    Attributes:
        acknowledged: Ends up to this number may be forgotten.
        wait_ms: Longest wait for an end.
        lease_until_ms: End of the lease on the runner's clock.
    """

    acknowledged: int
    wait_ms: int
    lease_until_ms: int | None = None


class HoldReply(msgspec.Struct):
    """A runner's lists of runs.

    Attributes:
        clock_ms: Its steady clock.
        active: Rows of task, run, checkpoint, percent done and, where it is
            given, the use of the last half second.
        finished: Rows of number, task, run, how and checkpoint.
        born: Start of this life in Unix milliseconds.
    """

    clock_ms: Count
    active: list[list[str | int | float]]
    finished: list[list[str | int | float]]
    born: Count = 0


# Callers.


class Step(
    msgspec.Struct,
    rename={
        "cpu_millis": "cpu",
        "estimated_ms": "est_ms",
        "is_gang": "gang",
        "needs_same_rack": "same_rack",
        "data_rack": "affinity",
        "lasts": "long_running",
        "uses_leftover_cpu": "fills",
    },
):
    """One step of a job; the wire calls steps phases.

    Attributes:
        count: Its tasks.
        cpu_millis: Processor of a task, in thousandths of a core.
        mem_mb: Memory of a task, in MB.
        gpu: Accelerators of a task.
        estimated_ms: Rough estimate of a task's duration.
        after: Numbers of the steps that must end before.
        checkpointing: True if its tasks save their progress.
        is_gang: True if its tasks only work together.
        needs_same_rack: True if its tasks are slower on several racks.
        required_label: Label that the runner must have.
        data_rack: Rack on which its tasks are fast.
        max_per_server: Tasks on one runner at most, 0 for any number.
        speculative: True if copies may run at a time.
        lasts: True if its tasks run until the job is cancelled.
        image: What its tasks run.
        target_ms: Bound on the response time of tasks that last.
        uses_leftover_cpu: True if its processor is not reserved.
        may_miss: Tasks that may be away at a time.
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
    data_rack: str = ""
    max_per_server: Count = 0
    speculative: bool = False
    lasts: bool = False
    image: str = ""
    target_ms: Annotated[float, Meta(ge=0)] = 0
    uses_leftover_cpu: bool = False
    may_miss: Count = 0

    def to_resources(self) -> Resources:
        """Returns what one of its tasks needs."""
        return Resources(self.cpu_millis, self.mem_mb, self.gpu)


class SubmittedJob(
    msgspec.Struct, rename={"steps": "phases", "lasts": "long_running"}
):
    """A job as a client submits it.

    Attributes:
        spec: What its tasks run.
        steps: Its steps.
        best_effort: True if it need not be stored.
        lasts: True if its tasks run until it is cancelled.
        repeat_count: How many times it runs at set times, 0 for once at once.
    """

    spec: Annotated[str, Meta(max_length=4000)]
    steps: Annotated[list[Step], Meta(min_length=1)]
    best_effort: bool = False
    lasts: bool = False
    repeat_count: Count = 0


# The operator.


class ConfiguredRoute(
    msgspec.Struct,
    frozen=True,
    rename={
        "objective_stretch": "stretch",
        "objective_ms": "target_duration_ms",
    },
):
    """A route, which is a queue of jobs.

    Attributes:
        name: Its name.
        host: Host that requests name.
        prefix: Path that theirs begins with.
        service: Service whose runners run its tasks.
        timeout_ms: Longest time for a request that names no deadline.
        priority: 0 comes first.
        max_attempts: Failed runs after which a task has failed.
        objective_stretch: Times the longest chain of work until which an
            answer is in time, plus `objective_ms`.
        objective_ms: See there.
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
    """A service.

    Attributes:
        name: Its name.
        enforces_capacity: True if its runners refuse what does not fit.
    """

    name: str
    enforces_capacity: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """The operator's configuration in full.

    Attributes:
        version: Rises with each change, in uneven steps.
        routes: The routes.
        services: The services.
    """

    version: Count
    routes: list[ConfiguredRoute]
    services: list[ConfiguredService]


# The store.


class ItemRow(msgspec.Struct):
    """An item, or in a watch what became of it.

    Attributes:
        key: Its key.
        value: Its value in base64.
        revision: Revision of its last change.
        deleted: True in a watch if it is gone.
    """

    key: str
    value: str = ""
    revision: int = 0
    deleted: bool = False


class ItemReply(ItemRow, rename={"store_revision": "at_rev"}):
    """One item, with the store's revision."""

    store_revision: int = 0


class RangeReply(msgspec.Struct, rename={"store_revision": "at_rev"}):
    """A page of items.

    Attributes:
        items: The items.
        store_revision: The store's revision.
        more_pages: True if there are further items.
    """

    items: list[ItemRow]
    store_revision: int
    more_pages: bool = False


class WatchReply(msgspec.Struct, rename={"store_revision": "at_rev"}):
    """What has changed; to be continued from `store_revision`."""

    events: list[ItemRow]
    store_revision: int


class ExpectedRow(msgspec.Struct):
    """Revision that a key must have, 0 if it must not exist."""

    key: str
    revision: int


class PutRow(msgspec.Struct, omit_defaults=True):
    """A key to write; its value is in base64."""

    key: str
    value: str
    lease: int = 0


class TransactionRequest(msgspec.Struct, rename={"deletes": "remove"}):
    """A group of writes, all of which happen or none."""

    expected: list[ExpectedRow]
    puts: list[PutRow]
    deletes: list[str]


class TransactionReply(msgspec.Struct):
    """The revision of a group of writes, or the keys that stood in its way."""

    revision: int = 0
    items: list[ItemRow] = []


class LeaseRequest(msgspec.Struct):
    """Asks for a lease."""

    ttl_ms: int


class LeaseReply(msgspec.Struct):
    """A lease."""

    lease: int
