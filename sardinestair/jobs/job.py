"""A job and the state of its tasks."""

import enum
from collections import deque
from concurrent.futures import Future
from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result

from sardinestair.ids import Incarnation, JobId
from sardinestair.jobs.way import JobWay
from sardinestair.jobs.work import JobRunTimeEstimator
from sardinestair.limits.budget import JobReservation
from sardinestair.limits.resources import Resources
from sardinestair.messages import TaskRef, TaskState
from sardinestair.outcomes import Problem
from sardinestair.store.claims import Claim

__all__ = ["Answer", "Job", "JobState", "TaskAnswer"]


class JobState(enum.Enum):
    """State of a job; all states but `ACTIVE` are final."""

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

    A task is waiting, in flight or settled. A task in flight becomes waiting
    again if it did not run, or if its run has ended without success and
    attempts are left. The job ends once: with the answers of all tasks, or
    with a problem.

    Times are in seconds on the entry's clock.

    Args:
        job_id: Id of the job.
        service: Service that the job is for.
        team: The caller's team.
        kind: The kind of job.
        payloads: Request bodies, one per task.
        accepted_s: Time at which the job was accepted.
        deadline_s: Time at which the job fails if it has not ended.
        run_time: Estimate of the run time of its tasks.
        digest: Hash of the request, to recognise a resubmission.
        max_attempts: Number of failed runs after which a task has failed. With
            1, a task that has started is never started again, unless
            interrupted runs are repeated.
        need: Resources that each task needs on an upstream with a capacity, or
            None if not specified.
        soft_deadline_s: Time until which an answer meets the objective;
            the deadline if None.
        useful_until_s: Time until which an answer is useful; the deadline if
            None.
        priority: Priority when slots are scarce; 0 goes before 1.
        repeat_interrupted: True if an interrupted run is repeated although
            `max_attempts` is 1.
        rack: Rack on which its tasks run faster, or empty if there is none.

    Attributes:
        task_count: Number of tasks.
        waiting: Indices of the waiting tasks, in order.
        in_flight: Sidecar of each task that is sent and not settled, by index.
        answers: Answers by index.
        answered: Number of answered tasks.
        may_have_run: True if any task may have run.
        state: State of the job.
        done: Future of the answer.
        ended_s: Time at which the job ended.
        queue_class: Urgency class in which it waits: its priority, unless
            admission control has put it in a more urgent class.
        order_key_s: Order key in the queue; smaller goes first.
        reservation: Amount reserved from the team's budget, or None if there is
            none.
        claim: Claim of an unrepeatable job: its own, or the one that conflicts
            with it.
        claimed: Future that is True if the job may start.
        attempts: Number of starts of each task, by index.
        failures: Number of failed runs of each task, by index.
        is_late: True once it can no longer meet its objective.
        can_repeat: True if a task may be started again after a run that has
            started.
        waiters: Number of submissions that wait for the answer.
        first_start_s: Time at which the first task was sent, or None.
        last_start_s: Time at which the latest task was sent, or None.
        way: Where the time of its runs went.
        attached_until_s: Time until which a caller at another entry waits for
            the answer.
        failed_upstreams: Sidecars of the upstreams on which a task has
            failed or stalled.

    Examples:
        >>> job = Job(
        ...     JobId(bytes(16)), "quotes", "tills", "", [b"1"], 0.0, 5.0,
        ...     JobRunTimeEstimator(0.1), b"",
        ... )
        >>> job.dequeue(Incarnation(bytes(16)))
        0
        >>> job.record_answer(0, TaskAnswer(b"2", True))
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
        run_time: JobRunTimeEstimator,
        digest: bytes,
        max_attempts: int = 1,
        need: Resources | None = None,
        soft_deadline_s: float | None = None,
        useful_until_s: float | None = None,
        priority: int = 0,
        repeat_interrupted: bool = False,
        rack: str = "",
    ):
        self.job_id = job_id
        self.service = service
        self.team = team
        self.kind = kind
        self.payloads = payloads
        self.accepted_s = accepted_s
        self.deadline_s = deadline_s
        self.run_time = run_time
        self.digest = digest
        self.soft_deadline_s = (
            deadline_s if soft_deadline_s is None else soft_deadline_s
        )
        self.useful_until_s = deadline_s
        if useful_until_s is not None:
            self.useful_until_s = min(deadline_s, useful_until_s)
        self.is_late = False
        self.max_attempts = max_attempts
        self.can_repeat = max_attempts > 1 or repeat_interrupted
        self.priority = priority
        self.rack = rack
        self.queue_class = priority
        self.need = need
        self.task_count = len(payloads)
        self.waiting: deque[int] = deque(range(self.task_count))
        self.in_flight: dict[int, Incarnation] = {}
        self.attempts = [0] * self.task_count
        self.waiters = 1
        self.attached_until_s = 0.0
        self.failures = [0] * self.task_count
        self.failed_upstreams: set[Incarnation] = set()
        self.answers: list[TaskAnswer | None] = [None] * self.task_count
        self.answered = 0
        self.may_have_run = False
        self.first_start_s: float | None = None
        self.last_start_s: float | None = None
        self.way = JobWay(accepted_s)
        self.state = JobState.ACTIVE
        self.done: Future[Answer] = Future()
        self.ended_s = 0.0
        self.order_key_s = 0.0
        self.reservation: JobReservation | None = None
        self.claim: Claim | None = None
        self.claimed: Future[bool] = Future()

    @property
    def is_active(self) -> bool:
        """True until the job has ended."""
        return self.state is JobState.ACTIVE

    @property
    def latest_start_s(self) -> float:
        """Latest start on a typical upstream that meets the objective."""
        return self.soft_deadline_s - self.run_time.mean_s_

    def is_no_longer_useful(self, now_s: float) -> bool:
        """Returns True if no task has started and it would end too late.

        Too late means after `useful_until_s`.
        """
        return self.is_not_run and self.would_end_too_late(now_s)

    def would_end_too_late(self, start_s: float) -> bool:
        """Returns True if a task started then would end too late to be useful.

        Args:
            start_s: Start of the task, on the entry's clock.
        """
        return start_s + self.run_time.mean_s_ > self.useful_until_s

    @property
    def can_be_moved(self) -> bool:
        """True if a task may be stopped and started on another upstream."""
        return self.is_active and self.can_repeat

    def dequeue(self, sidecar: Incarnation) -> int:
        """Moves the next waiting task to the tasks in flight.

        Args:
            sidecar: Sidecar that the task is sent to.

        Returns:
            Index of the task.
        """
        index = self.waiting.popleft()
        self.in_flight[index] = sidecar
        self.attempts[index] += 1
        return index

    def record_start(self, now_s: float) -> None:
        """Records the time at which a task is sent."""
        self.last_start_s = now_s
        if self.first_start_s is None:
            self.first_start_s = now_s

    def task_ref(self, index: int) -> TaskRef:
        """Returns a reference to the current attempt of a task."""
        return TaskRef(self.job_id, index, self.attempts[index])

    def requeue(self, index: int) -> None:
        """Puts a task in flight back at the front of the waiting tasks."""
        self.in_flight.pop(index, None)
        self.waiting.appendleft(index)

    def record_answer(self, index: int, answer: TaskAnswer) -> None:
        """Records the answer to a task; the last one completes the job."""
        self.in_flight.pop(index, None)
        self.may_have_run = True
        if not self.is_active:
            return
        assert self.answers[index] is None, "a task was answered twice"
        self.answers[index] = answer
        self.answered += 1
        if self.answered == self.task_count:
            answers = [a for a in self.answers if a is not None]
            self._finish(JobState.COMPLETE, Ok(answers))

    def record_unsuccessful_run(self, index: int, state: TaskState) -> bool:
        """Records the end of a run without success, and decides on a retry.

        Interrupted runs do not count as failures of the task.

        Args:
            index: Index of the task.
            state: How its run has ended.

        Returns:
            True if the job is active and attempts are left.
        """
        if state is TaskState.FAILED:
            self.failures[index] += 1
        has_attempts = self.failures[index] < self.max_attempts
        return self.is_active and self.can_repeat and has_attempts

    def remove_in_flight(self, index: int) -> None:
        """Removes a task from the tasks in flight."""
        self.in_flight.pop(index, None)

    def fail(self, problem: Problem) -> None:
        """Ends the job with a problem; no further task starts."""
        self._finish(JobState.FAILED, Error(problem))

    def cancel(self, problem: Problem) -> None:
        """Ends the job at the request of its caller."""
        self._finish(JobState.CANCELLED, Error(problem))

    @property
    def is_not_run(self) -> bool:
        """True if no task has run, and none is in flight."""
        return not (self.may_have_run or self.in_flight)

    @property
    def is_repeated(self) -> bool:
        """True if a task has been started more than once."""
        return max(self.attempts) > 1

    def drop_payloads(self) -> None:
        """Frees the request bodies when no task can start any more."""
        self.payloads = [b""] * self.task_count

    @property
    def ended_not_run(self) -> bool:
        """True if the job failed and none of its tasks has run."""
        if self.state is not JobState.FAILED:
            return False
        answer = self.done.result()
        return answer.is_error() and answer.error.not_run

    def can_run_again(self, may_repeat: bool) -> bool:
        """Returns True if a resubmission starts the job anew.

        Args:
            may_repeat: True if it may be repeated after a failure.
        """
        if self.ended_not_run:
            return True
        has_failed = self.state in (JobState.FAILED, JobState.CANCELLED)
        return may_repeat and has_failed

    def _finish(self, state: JobState, answer: Answer) -> None:
        if not self.is_active:
            return
        self.state = state
        self.done.set_result(answer)
