"""The job aggregate."""

import enum
from collections import deque
from concurrent.futures import Future
from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result

from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs.work import WorkEstimate
from sardinestair.limits.budget import JobCharge
from sardinestair.limits.resources import Resources
from sardinestair.messages import TaskRef, TaskState
from sardinestair.outcomes import Problem
from sardinestair.store.claims import Claim

__all__ = ["Answer", "Job", "JobState", "TaskAnswer"]


class JobState(enum.Enum):
    """State of a job; all but ACTIVE are final."""

    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskAnswer(msgspec.Struct, frozen=True):
    """The answer to one task.

    Attributes:
        body: The upstream's answer.
        is_json: True if the body is a JSON value.
    """

    body: bytes
    is_json: bool


Answer: TypeAlias = Result[list[TaskAnswer], Problem]


class Job:
    """A job of one or more tasks.

    Tasks leave `waiting` when they are sent and come back only if they are
    known not to have run. The job ends once: with the answers of all tasks,
    or with a problem.

    Args:
        job_id: The job's id.
        service: The service that answers it.
        team: The caller's team.
        kind: The kind of job.
        payloads: Request bodies, one a task.
        accepted_s: When it was accepted, on the entry's clock.
        deadline_s: When its answer is due, on the entry's clock.
        work: Expectation of its tasks' run time.
        digest: Hash of the request, to recognise a resubmission.
        max_attempts: Runs that may fail before a task has failed. With 1, a
            task that has started is never started again.
        need: What each task needs of an upstream that has a capacity.
        target_s: Until when the answer is in time, on the entry's clock; the
            deadline if not given.
        useful_until_s: Until when an answer is of use; the deadline if not
            given.
        priority: Which jobs come first when slots are short; 0 before 1.

    Attributes:
        waiting: Indices of the tasks that wait, in order.
        in_flight: For each task that is sent and not settled, by index, the
            sidecar that holds it.
        answers: Answers by index.
        state: State of the job.
        done: Resolves with the answer.
        key_s: Order key; smaller goes first.
        charge: What it has reserved of its team's budget, if that has one.
        claim: The claim of an unrepeatable job, the own one or the one in
            the way.
        claimed: Resolves with True if the job may start.
        attempts: Starts of each task, by index.
        failures: Runs of each task that have failed, by index.
        is_late: True once it can't be in time any more.
        waiters: Submissions that wait for the answer.
        first_start_s: When its first task was sent, on the entry's clock.
        last_start_s: When a task of it was last sent.
        failed_at: Upstreams on which a task has failed or stood still.

    Examples:
        >>> job = Job(
        ...     JobId(bytes(16)), "quotes", "tills", "", [b"1"], 0.0, 5.0,
        ...     WorkEstimate(0.1), b"",
        ... )
        >>> job.take(Incarnation(bytes(16)))
        0
        >>> job.record(0, TaskAnswer(b"2", True))
        >>> job.state
        <JobState.COMPLETE: 'complete'>
    """

    def __init__(
        self,
        job_id: JobId,
        service: str,
        team: str,
        kind: str,
        payloads: list[bytes],
        accepted_s: float,
        deadline_s: float,
        work: WorkEstimate,
        digest: bytes,
        max_attempts: int = 1,
        need: Resources | None = None,
        target_s: float | None = None,
        useful_until_s: float | None = None,
        priority: int = 0,
    ):
        self.job_id = job_id
        self.service = service
        self.team = team
        self.kind = kind
        self.payloads = payloads
        self.accepted_s = accepted_s
        self.deadline_s = deadline_s
        self.work = work
        self.digest = digest
        self.target_s = deadline_s if target_s is None else target_s
        self.useful_until_s = deadline_s
        if useful_until_s is not None:
            self.useful_until_s = min(deadline_s, useful_until_s)
        self.is_late = False
        self.max_attempts = max_attempts
        self.priority = priority
        self.need = need
        self.size = len(payloads)
        self.waiting: deque[int] = deque(range(self.size))
        self.in_flight: dict[int, Incarnation] = {}
        self.attempts = [0] * self.size
        self.waiters = 1
        self.failures = [0] * self.size
        self.failed_at: set[Incarnation] = set()
        self.answers: list[TaskAnswer | None] = [None] * self.size
        self.answered = 0
        self.may_have_run = False
        self.first_start_s: float | None = None
        self.last_start_s: float | None = None
        self.state = JobState.ACTIVE
        self.done: Future[Answer] = Future()
        self.ended_s = 0.0
        self.key_s = 0.0
        self.charge: JobCharge | None = None
        self.claim: Claim | None = None
        self.claimed: Future[bool] = Future()

    @property
    def is_active(self) -> bool:
        """True until the job has ended."""
        return self.state is JobState.ACTIVE

    @property
    def latest_start_s(self) -> float:
        """When its tasks must start on a typical upstream to be in time."""
        return self.target_s - self.work.mean_s_

    def is_useless(self, now_s: float) -> bool:
        """Tells whether it has not begun and would end too late for use."""
        end_s = now_s + self.work.mean_s_
        return self.is_not_run and end_s > self.useful_until_s

    @property
    def can_be_moved(self) -> bool:
        """True if a task that is stopped may run again."""
        return self.is_active and self.max_attempts > 1

    def take(self, sidecar: Incarnation) -> int:
        """Takes the next waiting task for a start.

        Args:
            sidecar: Where it is sent.

        Returns:
            Its index.
        """
        index = self.waiting.popleft()
        self.in_flight[index] = sidecar
        self.attempts[index] += 1
        return index

    def note_start(self, now_s: float) -> None:
        """Remembers that a task is sent now."""
        self.last_start_s = now_s
        if self.first_start_s is None:
            self.first_start_s = now_s

    def ref(self, index: int) -> TaskRef:
        """Returns the name of a task's current attempt."""
        return TaskRef(self.job_id, index, self.attempts[index])

    def put_back(self, index: int) -> None:
        """Returns a task that did not run to the head of the job."""
        self.in_flight.pop(index, None)
        self.waiting.appendleft(index)

    def record(self, index: int, answer: TaskAnswer) -> None:
        """Takes the answer to a task; the last one completes the job."""
        self.in_flight.pop(index, None)
        self.may_have_run = True
        if not self.is_active:
            return
        assert self.answers[index] is None, "a task was answered twice"
        self.answers[index] = answer
        self.answered += 1
        if self.answered == self.size:
            answers = [a for a in self.answers if a is not None]
            self._end(JobState.COMPLETE, Ok(answers))

    def may_repeat(self, index: int, state: TaskState) -> bool:
        """Decides whether a task whose run has ended gets another one.

        Args:
            index: The task.
            state: How its run has ended.

        Returns:
            True if the job is active and attempts are left. Runs that were
            interrupted count as no failure of the task.
        """
        if state is TaskState.FAILED:
            self.failures[index] += 1
        has_attempts = self.failures[index] < self.max_attempts
        return self.is_active and self.max_attempts > 1 and has_attempts

    def release(self, index: int) -> None:
        """Settles a task of a job that has ended."""
        self.in_flight.pop(index, None)

    def fail(self, problem: Problem) -> None:
        """Ends the job with a problem; no later task starts."""
        self._end(JobState.FAILED, Error(problem))

    def cancel(self, problem: Problem) -> None:
        """Ends the job at its caller's wish."""
        self._end(JobState.CANCELLED, Error(problem))

    @property
    def is_not_run(self) -> bool:
        """True if no task has run, and none is in flight."""
        return not (self.may_have_run or self.in_flight)

    def drop_payloads(self) -> None:
        """Frees the request bodies once no task can start any more."""
        self.payloads = [b""] * self.size

    @property
    def ended_not_run(self) -> bool:
        """True if the job failed and none of its tasks has run."""
        if self.state is not JobState.FAILED:
            return False
        answer = self.done.result()
        return answer.is_error() and answer.error.not_run

    def _end(self, state: JobState, answer: Answer) -> None:
        if not self.is_active:
            return
        self.state = state
        self.done.set_result(answer)
