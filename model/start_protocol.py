"""Specification of the start protocol: one task, two sidecars, one entry.

The network is the set of all messages ever sent. Each may arrive at any time,
in any order, any number of times or never. A silent connection is therefore a
trace in which nothing arrives and the entry opens a new epoch, and a crash of
the entry is a trace in which it takes no further step. Epochs are numbered
across both links, as in the entry. To keep the state space small, only the
first sidecar may restart and only the second may leave.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["StartMutant", "make_start_protocol"]

SIDECARS = (0, 1)
MAX_EPOCH = 3
MAX_ATTEMPT = 2
MAX_INCARNATION = 1
RESTARTING_SIDECAR = 0
LEAVING_SIDECAR = 1


class StartMutant(enum.Enum):
    """A rule left out of the specification; each mutant must be refuted."""

    NO_EPOCH_CHECK = "no epoch check"
    NO_INCARNATION_CHECK = "no incarnation check"
    NO_SEQUENCE_CHECK = "no sequence check"
    NO_ATTEMPT_CHECK = "no attempt check"
    TIMEOUT_TAKEN_AS_NOT_RUN = "time-out taken as not run"
    LEAVE_IGNORED = "leave ignored"
    OUTCOME_DROPPED_BEFORE_ACK = "outcome dropped before acknowledgement"


class CallerAnswer(enum.Enum):
    """Answer that the caller got."""

    NONE = "nothing"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not run"


class TaskState(enum.Enum):
    """State of the task at a sidecar."""

    ABSENT = "no"
    RUNNING = "running"
    DONE = "done"


class MessageKind(enum.Enum):
    """Kind of a message between the entry and a sidecar.

    A sidecar answers a resume with the state of the task: not run, held (it
    is running) or its outcome; or with replaced if the resume was meant for
    an earlier incarnation.
    """

    RESUME = "resume"
    START = "start"
    ACKNOWLEDGE = "acknowledge"
    NOT_RUN = "not run"
    RUNNING = "held"
    REPLACED = "replaced"
    OUTCOME = "outcome"
    REFUSED = "refused"


TO_SIDECAR = (MessageKind.RESUME, MessageKind.START, MessageKind.ACKNOWLEDGE)


class Message(NamedTuple):
    """A message between the entry and a sidecar.

    Attributes:
        kind: The kind.
        sidecar: Index of the sidecar that sends or receives it.
        incarnation: Incarnation of that sidecar.
        epoch: Epoch of the link.
        sequence: Sequence number in the epoch; only sidecars check it.
        attempt: Attempt to start the task, 0 if the message is about none.
    """

    kind: MessageKind
    sidecar: int
    incarnation: int
    epoch: int
    sequence: int
    attempt: int


class Link(NamedTuple):
    """The entry's side of a link; `sequence` is the last one sent."""

    incarnation: int = 0
    epoch: int = 0
    sequence: int = 0


class Sidecar(NamedTuple):
    """A sidecar; `sequence` is the last one accepted."""

    incarnation: int = 0
    epoch: int = 0
    sequence: int = 0
    task_state: TaskState = TaskState.ABSENT
    task_attempt: int = 0
    is_leaving: bool = False


class State(NamedTuple):
    """State of the system.

    Attributes:
        links: The entry's sides of the links.
        sidecars: The sidecars.
        network: All messages ever sent.
        epochs: Number of epochs opened.
        attempt: Number of the latest attempt to start the task.
        outstanding: Index of the sidecar to which the task was sent, -1 while
            the task waits.
        answer: Answer that the caller got.
        starts: How often the task was started.
        late_starts: Starts at a sidecar after it began to leave.
    """

    links: tuple[Link, ...] = (Link(), Link())
    sidecars: tuple[Sidecar, ...] = (Sidecar(), Sidecar())
    network: frozenset = frozenset()
    epochs: int = 0
    attempt: int = 0
    outstanding: int = -1
    answer: CallerAnswer = CallerAnswer.NONE
    starts: int = 0
    late_starts: int = 0


Step = tuple[str, State]


def make_start_protocol(mutant: StartMutant | None = None) -> Protocol:
    """Builds the specification.

    Args:
        mutant: The rule to leave out, if any.
    """
    return Protocol(
        name=mutant.value if mutant else "start protocol",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), mutant)),
        invariants={
            "started at most once": lambda s: s["starts"] <= 1,
            "not run is true": lambda s: (
                s["answer"] is not CallerAnswer.NOT_RUN or s["starts"] == 0
            ),
            "complete has run": lambda s: (
                s["answer"] is not CallerAnswer.COMPLETE or s["starts"] == 1
            ),
            "no start after a leave": lambda s: s["late_starts"] == 0,
        },
    )


def _steps(state: State, mutant: StartMutant | None) -> Iterator[Step]:
    if state.answer is CallerAnswer.NONE:
        yield from _entry_steps(state, mutant)
    for index in SIDECARS:
        yield from _sidecar_steps(state, index, mutant)
    for message in state.network:
        if message.kind in TO_SIDECAR:
            yield from _deliver_to_sidecar(state, message, mutant)
        else:
            yield from _deliver_to_entry(state, message, mutant)


def _entry_steps(state: State, mutant: StartMutant | None) -> Iterator[Step]:
    is_waiting = state.outstanding < 0
    if is_waiting:
        yield "entry gives up", state._replace(answer=CallerAnswer.NOT_RUN)
    for index, link in enumerate(state.links):
        if is_waiting and link.epoch and state.attempt < MAX_ATTEMPT:
            yield f"entry sends the start to {index}", _send_start(state, index)
        if state.epochs < MAX_EPOCH:
            yield (
                f"entry opens an epoch with {index}",
                _open_epoch(state, index),
            )
        if link.incarnation < state.sidecars[index].incarnation:
            yield (
                f"entry sees the new incarnation of {index}",
                _replace_link(state, index),
            )
    if mutant is StartMutant.TIMEOUT_TAKEN_AS_NOT_RUN:
        yield "time-out", state._replace(outstanding=-1)


def _send_start(state: State, index: int) -> State:
    link = state.links[index]
    link = link._replace(sequence=link.sequence + 1)
    attempt = state.attempt + 1
    message = Message(
        MessageKind.START,
        index,
        link.incarnation,
        link.epoch,
        link.sequence,
        attempt,
    )
    return _send(
        state._replace(
            links=_replace_item(state.links, index, link),
            attempt=attempt,
            outstanding=index,
        ),
        message,
    )


def _open_epoch(state: State, index: int) -> State:
    link = state.links[index]
    epoch = state.epochs + 1
    link = link._replace(epoch=epoch, sequence=1)
    attempt = state.attempt if state.outstanding == index else 0
    message = Message(
        MessageKind.RESUME, index, link.incarnation, epoch, 1, attempt
    )
    links = _replace_item(state.links, index, link)
    return _send(state._replace(links=links, epochs=epoch), message)


def _replace_link(state: State, index: int) -> State:
    """Replaces the link by one to the sidecar's new incarnation."""
    link = state.links[index]
    link = link._replace(incarnation=state.sidecars[index].incarnation)
    state = state._replace(links=_replace_item(state.links, index, link))
    return _fail_job(state) if state.outstanding == index else state


def _fail_job(state: State) -> State:
    answer = (
        CallerAnswer.FAILED
        if state.answer is CallerAnswer.NONE
        else state.answer
    )
    return state._replace(answer=answer)


def _sidecar_steps(
    state: State, index: int, mutant: StartMutant | None
) -> Iterator[Step]:
    sidecar = state.sidecars[index]
    if sidecar.task_state is TaskState.RUNNING:
        yield f"task ends at {index}", _finish_task(state, index, mutant)
    if index == LEAVING_SIDECAR and not sidecar.is_leaving:
        leaving = sidecar._replace(is_leaving=True)
        yield f"{index} leaves", _set_sidecar(state, index, leaving)
    if index == RESTARTING_SIDECAR and sidecar.incarnation < MAX_INCARNATION:
        fresh = Sidecar(sidecar.incarnation + 1)
        yield f"{index} restarts", _set_sidecar(state, index, fresh)


def _finish_task(state: State, index: int, mutant: StartMutant | None) -> State:
    sidecar = state.sidecars[index]
    message = Message(
        MessageKind.OUTCOME,
        index,
        sidecar.incarnation,
        sidecar.epoch,
        0,
        sidecar.task_attempt,
    )
    is_dropped = mutant is StartMutant.OUTCOME_DROPPED_BEFORE_ACK
    task_state = TaskState.ABSENT if is_dropped else TaskState.DONE
    state = _set_sidecar(state, index, sidecar._replace(task_state=task_state))
    return _send(state, message)


def _deliver_to_sidecar(
    state: State, message: Message, mutant: StartMutant | None
) -> Iterator[Step]:
    index = message.sidecar
    sidecar = state.sidecars[index]
    is_other_incarnation = message.incarnation != sidecar.incarnation
    if mutant is StartMutant.NO_INCARNATION_CHECK:
        is_other_incarnation = False
    if message.kind is MessageKind.RESUME:
        if is_other_incarnation:
            reply = message._replace(kind=MessageKind.REPLACED)
            yield (
                f"resume reaches another incarnation of {index}",
                _send(state, reply),
            )
        elif message.epoch > sidecar.epoch:
            yield f"resume at {index}", _accept_resume(state, message)
        return
    if is_other_incarnation or not _is_current(sidecar, message, mutant):
        return
    sidecar = sidecar._replace(sequence=message.sequence)
    state = _set_sidecar(state, index, sidecar)
    if message.kind is MessageKind.START:
        yield f"start at {index}", _handle_start(state, message, mutant)
    elif (
        sidecar.task_state is TaskState.DONE
        and sidecar.task_attempt == message.attempt
    ):
        forgotten = sidecar._replace(
            task_state=TaskState.ABSENT, task_attempt=0
        )
        yield f"ack at {index}", _set_sidecar(state, index, forgotten)


def _is_current(
    sidecar: Sidecar, message: Message, mutant: StartMutant | None
) -> bool:
    if mutant is StartMutant.NO_EPOCH_CHECK:
        # Accepts older epochs; only later, unknown ones are refused.
        if message.epoch < sidecar.epoch:
            return True
    elif mutant is StartMutant.NO_INCARNATION_CHECK and sidecar.epoch == 0:
        # A sidecar that has just started adopts any epoch and sequence.
        return True
    if message.epoch != sidecar.epoch:
        return False
    if mutant is StartMutant.NO_SEQUENCE_CHECK:
        return True
    return message.sequence == sidecar.sequence + 1


def _accept_resume(state: State, message: Message) -> State:
    index = message.sidecar
    sidecar = state.sidecars[index]
    sidecar = sidecar._replace(epoch=message.epoch, sequence=1)
    state = _set_sidecar(state, index, sidecar)
    has_attempt = (
        sidecar.task_state is not TaskState.ABSENT
        and sidecar.task_attempt == message.attempt
    )
    kinds = {
        TaskState.ABSENT: MessageKind.NOT_RUN,
        TaskState.RUNNING: MessageKind.RUNNING,
        TaskState.DONE: MessageKind.OUTCOME,
    }
    kind = kinds[sidecar.task_state] if has_attempt else MessageKind.NOT_RUN
    return _send(state, message._replace(kind=kind, sequence=0))


def _handle_start(
    state: State, message: Message, mutant: StartMutant | None
) -> State:
    index = message.sidecar
    sidecar = state.sidecars[index]
    ignores_leave = mutant is StartMutant.LEAVE_IGNORED
    if sidecar.is_leaving and not ignores_leave:
        return _send(
            state, message._replace(kind=MessageKind.REFUSED, sequence=0)
        )
    if sidecar.task_state is not TaskState.ABSENT:
        return state
    running = sidecar._replace(
        task_state=TaskState.RUNNING, task_attempt=message.attempt
    )
    state = _set_sidecar(state, index, running)
    return state._replace(
        starts=state.starts + 1,
        late_starts=state.late_starts + sidecar.is_leaving,
    )


def _deliver_to_entry(
    state: State, message: Message, mutant: StartMutant | None
) -> Iterator[Step]:
    link = state.links[message.sidecar]
    is_current = (
        message.incarnation == link.incarnation and message.epoch == link.epoch
    )
    is_expected = state.outstanding == message.sidecar and (
        message.attempt == state.attempt
        or mutant is StartMutant.NO_ATTEMPT_CHECK
    )
    if (
        not is_current
        or not is_expected
        or state.answer is not CallerAnswer.NONE
    ):
        return
    if (
        message.kind in (MessageKind.NOT_RUN, MessageKind.REFUSED)
        and message.attempt
    ):
        yield "entry learns not run", state._replace(outstanding=-1)
    elif message.kind is MessageKind.REPLACED:
        yield "entry learns of a restart", _fail_job(state)
    elif message.kind is MessageKind.OUTCOME:
        yield "entry learns the outcome", _complete_job(state, message)


def _complete_job(state: State, message: Message) -> State:
    index = message.sidecar
    link = state.links[index]
    link = link._replace(sequence=link.sequence + 1)
    acknowledge = message._replace(
        kind=MessageKind.ACKNOWLEDGE, sequence=link.sequence
    )
    return _send(
        state._replace(
            answer=CallerAnswer.COMPLETE,
            outstanding=-1,
            links=_replace_item(state.links, index, link),
        ),
        acknowledge,
    )


def _send(state: State, message: Message) -> State:
    return state._replace(network=state.network | {message})


def _set_sidecar(state: State, index: int, sidecar: Sidecar) -> State:
    return state._replace(
        sidecars=_replace_item(state.sidecars, index, sidecar)
    )


def _replace_item(items: tuple, index: int, item) -> tuple:
    return items[:index] + (item,) + items[index + 1 :]
