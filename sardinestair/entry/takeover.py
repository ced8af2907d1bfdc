"""Passes jobs from one entry to another, so that each has a single owner."""

import asyncio
from collections.abc import Awaitable, Callable
from threading import RLock
from typing import Protocol

import msgspec
from expression import Error, Ok, Result

from sardinestair.clock import Clock
from sardinestair.ids import (
    Incarnation,
    JobId,
    format_job_id,
    pack_job_id,
    unpack_job_id,
)
from sardinestair.jobs import (
    JobDirectory,
    JobRegistry,
    JobState,
    WithdrawnJobs,
)
from sardinestair.jobs.ownership import OwnershipRecord
from sardinestair.jobs.request import ParsedRequest
from sardinestair.links.timing import LinkTiming
from sardinestair.membership import choose_entries
from sardinestair.messages import (
    MAX_GENERATION,
    OwnershipBatch,
    OwnershipReply,
    OwnershipRequest,
    OwnershipState,
)
from sardinestair.observability import EventLog, Metrics
from sardinestair.outcomes import Problem, ProblemKind

__all__ = ["ATTACH_S", "ElsewhereJob", "JobArbiter", "JobTakeover"]

# Time for which a caller at another entry keeps a job active, from the latest
# request on.
ATTACH_S = 0.5
REQUEST_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.01
# A process that has started or stood still receives what others have sent.
CATCH_UP_INTERVAL_S = 0.02
MAX_CATCH_UP_S = 0.5
# Callers that state no deadline.
MAX_WAIT_S = 60.0

CALLER_LEFT = Problem(
    ProblemKind.UNAVAILABLE,
    "the caller has left; this submission did not run",
    not_run=True,
)

STILL_ELSEWHERE = Problem(
    ProblemKind.DEADLINE,
    "the job has not ended at the entry that runs it",
    not_run=False,
)

SendRequest = Callable[
    [str, OwnershipRequest], Awaitable[OwnershipReply | None]
]

_STATES = {
    OwnershipState.ACTIVE: JobState.ACTIVE,
    OwnershipState.COMPLETE: JobState.COMPLETE,
    OwnershipState.FAILED: JobState.FAILED,
    OwnershipState.CANCELLED: JobState.CANCELLED,
}
_OWN_STATES = {job: reply for reply, job in _STATES.items()}


class ElsewhereJob(msgspec.Struct, frozen=True):
    """A job that another entry has.

    Attributes:
        owner: Membership endpoint of its owner, or empty if it is not known.
        state: Its state there.
    """

    owner: str
    state: JobState


class OwnershipHolder(Protocol):
    """The entry, as the ownership of its jobs depends on it.

    Attributes:
        lock: Guards all state of the entry.
        clock: The clock.
        metrics: The process's metrics.
        timing: Timeouts of links.
        registry: The known jobs.
        withdrawn: Jobs that callers have cancelled.
        directory: The owners of jobs.
    """

    lock: RLock
    clock: Clock
    metrics: Metrics
    timing: LinkTiming
    registry: JobRegistry
    withdrawn: WithdrawnJobs
    directory: JobDirectory

    def handle_withdrawn(self, job_ids: list[JobId]) -> None:
        """Cancels jobs that callers of another entry have cancelled."""


class JobArbiter:
    """Decides whether another entry may become the owner of a job.

    Args:
        holder: The entry; its lock is taken.
    """

    def __init__(self, holder: OwnershipHolder):
        self.holder = holder

    def decide(
        self, request: OwnershipRequest, requester: str
    ) -> OwnershipReply:
        """Answers a request, and notes the new owner if it is granted.

        Args:
            request: The request.
            requester: Membership endpoint of the entry that sent it.
        """
        holder, job_id = self.holder, unpack_job_id(request.job)
        with holder.lock:
            if request.withdraws:
                holder.handle_withdrawn([job_id])
            if job_id in holder.withdrawn:
                return OwnershipReply(request.number, OwnershipState.CANCELLED)
            record = holder.directory.find(job_id)
            if record is None or record.owner in request.unreachable:
                return self._decide_for_absent(
                    request, requester, job_id, record
                )
            is_granted = record.owner == requester or (
                record.owner == holder.directory.own_endpoint
                and self._may_release(request, job_id, record)
            )
            if not is_granted:
                state = self._state(request, job_id, record)
                return OwnershipReply(
                    request.number, state, record.owner, record.generation
                )
            return self._grant(request, requester, job_id, record.generation)

    def _decide_for_absent(
        self,
        request: OwnershipRequest,
        requester: str,
        job_id: JobId,
        record: OwnershipRecord | None,
    ) -> OwnershipReply:
        """Decides on a job whose owner does not reply, or is not known."""
        is_complete = record is not None and record.is_complete
        if record is not None and is_complete and not request.needs_answer:
            return OwnershipReply(
                request.number, OwnershipState.COMPLETE, record.owner
            )
        if not request.is_arbiter:
            return OwnershipReply(request.number, OwnershipState.UNKNOWN)
        known = -1 if record is None else record.generation
        return self._grant(
            request, requester, job_id, max(known, request.generation)
        )

    def _grant(
        self,
        request: OwnershipRequest,
        requester: str,
        job_id: JobId,
        generation: int,
    ) -> OwnershipReply:
        directory = self.holder.directory
        record = directory.find(job_id)
        is_known = record is not None and record.owner == requester
        if not is_known:
            generation = min(generation + 1, MAX_GENERATION)
            if requester != directory.own_endpoint:
                now_s = self.holder.clock.monotonic()
                directory.grant(job_id, requester, generation, now_s)
        return OwnershipReply(
            request.number, OwnershipState.GRANTED, requester, generation
        )

    def _may_release(
        self, request: OwnershipRequest, job_id: JobId, record: OwnershipRecord
    ) -> bool:
        """Returns True if the job may run again, and no run is left here."""
        holder = self.holder
        if holder.clock.monotonic() < record.not_before_s:
            return False
        job = holder.registry.find(job_id)
        if job is None:
            return not record.is_complete or request.needs_answer
        return job.can_run_again(request.may_repeat) and not job.in_flight

    def _state(
        self, request: OwnershipRequest, job_id: JobId, record: OwnershipRecord
    ) -> OwnershipState:
        holder = self.holder
        if record.is_complete:
            return OwnershipState.COMPLETE
        if record.owner != holder.directory.own_endpoint:
            return OwnershipState.MOVED
        job = holder.registry.find(job_id)
        if job is None or job.can_run_again(request.may_repeat):
            return OwnershipState.ACTIVE
        if job.is_active:
            job.attached_until_s = holder.clock.monotonic() + ATTACH_S
        return _OWN_STATES[job.state]


class _Walk(msgspec.Struct):
    """Progress of one takeover.

    Attributes:
        unreachable: Endpoints that did not reply, or did not know the job.
        may_still_run: True if runs of a lost owner may be active.
        arbiter: The entry that decides in place of the owner, or empty.
    """

    unreachable: list[str] = []
    may_still_run: bool = False
    arbiter: str = ""


class JobTakeover:
    """Settles which entry runs a job that was submitted at several entries.

    Args:
        holder: The entry; its lock is taken.

    Attributes:
        arbiter: Decides on requests to this entry, also on its own.
        send_request: Sends a request to the entry at an endpoint; returns None
            if it does not reply.
        entries: Returns the endpoints of all known entries.
        is_current: Returns False if the process has started or stood still,
            and may not have received what others have sent.
    """

    def __init__(self, holder: OwnershipHolder):
        self.holder = holder
        self.arbiter = JobArbiter(holder)
        self.send_request: SendRequest = _get_no_reply
        self.entries: Callable[[], list[str]] = list
        self.is_current: Callable[[], bool] = lambda: True
        self.log = EventLog("takeover")

    async def catch_up(self) -> None:
        """Waits until what others have sent during a pause is received."""
        if self.is_current():
            return
        clock = self.holder.clock
        until_s = clock.monotonic() + MAX_CATCH_UP_S
        while not self.is_current() and clock.monotonic() < until_s:
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    async def settle(
        self,
        parsed: ParsedRequest,
        has_left: Callable[[], bool],
        needs_answer: bool = False,
    ) -> Result[ElsewhereJob | None, Problem]:
        """Makes this entry the owner of a job, or finds out how it ended.

        Args:
            parsed: The submission.
            has_left: Returns True if the caller no longer waits.
            needs_answer: True if the caller needs the answers of the tasks.
                An active job is returned at once then.

        Returns:
            None if this entry owns the job and may run it. Otherwise the job
            at another entry, or the problem with which it is refused.
        """
        walk = _Walk()
        clock = self.holder.clock
        until_s = clock.monotonic() + (parsed.request.deadline_s or MAX_WAIT_S)
        while True:
            if has_left():
                return Error(CALLER_LEFT)
            if clock.monotonic() >= until_s:
                return Error(STILL_ELSEWHERE)
            record = self.holder.directory.find(parsed.job_id)
            if record is None:
                return Ok(None)
            if record.is_complete and not needs_answer:
                return self._end(record.owner, JobState.COMPLETE)
            if record.owner == self.holder.directory.own_endpoint:
                if record.is_complete:
                    # Its answers are not kept any more.
                    self._own(parsed.job_id, record.generation + 1, walk)
                return Ok(None)
            reply = await self._request_next(parsed, record, walk, needs_answer)
            if reply is None or reply.state is OwnershipState.UNKNOWN:
                self._skip(record, walk)
            elif reply.state is OwnershipState.MOVED:
                self._follow(parsed.job_id, record, reply, walk)
            elif reply.state is OwnershipState.GRANTED:
                self._own(parsed.job_id, reply.generation, walk)
                return Ok(None)
            elif reply.state is OwnershipState.ACTIVE and not needs_answer:
                record.active_s = clock.monotonic()
                await self._wait(parsed.job_id, has_left)
            else:
                return self._end(reply.owner, _STATES[reply.state])

    async def withdraw(self, job_id: JobId) -> None:
        """Informs other entries that the caller of a job has cancelled it.

        Returns once its owner has ended it, and a further entry remembers it in
        case that this one is lost; or once they have not replied in time.
        """
        own = self.holder.directory.own_endpoint
        record = self.holder.directory.find(job_id)
        others = self.entries()
        if record is not None:
            ranked = choose_entries(
                Incarnation(job_id),
                [e for e in others if e != record.owner],
                1,
            )
            others = [record.owner, *ranked]
        request = OwnershipRequest(
            0, pack_job_id(job_id), 0, [], False, False, False, True
        )
        await asyncio.gather(
            *(
                self.send_request(entry, request)
                for entry in others
                if entry != own
            )
        )

    async def _request_next(
        self,
        parsed: ParsedRequest,
        record: OwnershipRecord,
        walk: _Walk,
        needs_answer: bool,
    ) -> OwnershipReply | None:
        """Sends a request to the owner, or to the entry in its place."""
        own = self.holder.directory.own_endpoint
        walk.arbiter = ""
        if record.owner in walk.unreachable:
            walk.arbiter = self._choose_arbiter(parsed.job_id, walk)
        target = walk.arbiter or record.owner
        request = OwnershipRequest(
            0,
            pack_job_id(parsed.job_id),
            record.generation,
            walk.unreachable,
            bool(walk.arbiter),
            parsed.request.best_effort,
            needs_answer,
        )
        if target == own:
            return self.arbiter.decide(request, own)
        return await self.send_request(target, request)

    def _choose_arbiter(self, job_id: JobId, walk: _Walk) -> str:
        """Returns the entry that decides; all choose the same one."""
        own = self.holder.directory.own_endpoint
        others = [e for e in self.entries() if e not in walk.unreachable]
        return choose_entries(Incarnation(job_id), [own, *others], 1)[0]

    def _skip(self, record: OwnershipRecord, walk: _Walk) -> None:
        walk.unreachable.append(walk.arbiter or record.owner)
        if not walk.arbiter:
            # The first owner's runs have ended: no caller submits again
            # sooner. Later owners got the job at any time.
            silent_s = self.holder.clock.monotonic() - record.active_s
            was_active = silent_s < self.holder.timing.lost_s
            walk.may_still_run |= was_active or record.generation > 0

    def _follow(
        self,
        job_id: JobId,
        record: OwnershipRecord,
        reply: OwnershipReply,
        walk: _Walk,
    ) -> None:
        directory = self.holder.directory
        batch = OwnershipBatch(
            reply.owner, [pack_job_id(job_id)], bytes([reply.generation])
        )
        with self.holder.lock:
            directory.observe(batch, self.holder.clock.monotonic())
        if directory.find(job_id) is record:
            self._skip(record, walk)

    def _own(self, job_id: JobId, generation: int, walk: _Walk) -> None:
        holder = self.holder
        now_s = holder.clock.monotonic()
        not_before_s = 0.0
        if walk.may_still_run:
            not_before_s = now_s + holder.timing.lost_s
        with holder.lock:
            holder.directory.add_own(job_id, now_s, generation, not_before_s)
        holder.metrics.count("jobs_taken_over_total", {})
        self.log.info(
            "job_taken_over",
            job=format_job_id(job_id),
            generation=generation,
            unreachable=",".join(walk.unreachable),
            waits_s=not_before_s and holder.timing.lost_s,
        )

    async def _wait(self, job_id: JobId, has_left: Callable[[], bool]) -> None:
        """Waits until the job is complete elsewhere, or a request is due."""
        clock, directory = self.holder.clock, self.holder.directory
        until_s = clock.monotonic() + REQUEST_INTERVAL_S
        while clock.monotonic() < until_s and not has_left():
            record = directory.find(job_id)
            if record is None or record.is_complete:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _end(
        self, owner: str, state: JobState
    ) -> Result[ElsewhereJob | None, Problem]:
        labels = {"state": state.value}
        self.holder.metrics.count("jobs_elsewhere_total", labels)
        return Ok(ElsewhereJob(owner, state))


async def _get_no_reply(
    _endpoint: str, _request: OwnershipRequest
) -> OwnershipReply | None:
    return None
