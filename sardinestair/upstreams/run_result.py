"""Results of tasks from the ends of their runs."""

from sardinestair.messages import TaskState
from sardinestair.upstreams.caller import CallResult
from sardinestair.upstreams.orders import EndKind
from sardinestair.upstreams.run import Run

__all__ = ["make_result"]

_TASK_STATES = {
    EndKind.DONE: TaskState.DONE,
    EndKind.FAILED: TaskState.FAILED,
}


def make_result(run: Run, incarnation_ms: int, run_s: float) -> CallResult:
    """Returns the result of a task whose run has ended.

    Args:
        run: The run.
        incarnation_ms: The upstream's incarnation as of the last report.
        run_s: Time since the task was to start, in seconds.

    Returns:
        The result; its body is empty if the task is done, otherwise the reason
        in UTF-8.
    """
    assert run.end is not None
    is_same_incarnation = run.incarnation_ms == incarnation_ms
    has_not_begun = run.end is EndKind.OTHER and not run.is_confirmed
    if has_not_begun and is_same_incarnation:
        return CallResult(TaskState.NOT_RUN, run.reason, False, run_s)
    if run.end is EndKind.CRASHED:
        return CallResult(
            TaskState.INTERRUPTED,
            run.end.value.encode(),
            False,
            run.lost_age_s,
            has_crashed=True,
            is_confirmed=run.is_confirmed,
        )
    state = _TASK_STATES.get(run.end, TaskState.INTERRUPTED)
    reason = run.reason or run.end.value.encode()
    body = b"" if state is TaskState.DONE else reason
    return CallResult(state, body, False, run_s, start_s=run.start_took_s)
