"""Which answers and starts count as a violated guarantee."""

from faults.callers import JobRecord
from faults.verdicts import (
    Evacuation,
    Hindrance,
    TaskStart,
    evacuated_starts,
    evaluate,
)


def make_record(**fields):
    return JobRecord("j", 1, unrepeatable=True, **fields)


def make_starts(count):
    return [TaskStart(float(n), "j", 0, 1) for n in range(count)]


def test_refusal_of_a_job_that_has_started_is_untrue():
    refused = make_record(submissions=2, status=503, not_run_at_s=5.0)
    assert evaluate([refused], make_starts(1)).untrue_not_run == 1


def test_refusal_after_a_lost_answer_says_nothing_of_the_first_submission():
    """Soak seed 101: one answer was lost with its entry, which was killed.

    The job's tasks had been started. Its last submission was refused the
    connection and so was reported as not run, which is no violation.
    """
    refused = make_record(
        submissions=3, status=0, not_run_at_s=5.0, unknown_outcomes=1
    )
    assert evaluate([refused], make_starts(1)).is_clean
    assert evaluate([refused], make_starts(2)).doubled == 1


def test_submission_without_an_answer_is_lost():
    unanswered = make_record(submissions=1, unknown_outcomes=1, timed_out=1)
    assert evaluate([unanswered], []).lost == 1


def test_start_in_a_zone_evacuated_for_longer_than_the_bound_is_late():
    evacuation = Evacuation("munster", begun_s=10.0, ended_s=20.0)
    starts = [
        TaskStart(time_s, "j", 0, 1) for time_s in (9.0, 14.9, 15.1, 20.1)
    ]
    assert evacuated_starts(starts, evacuation, []) == [starts[2]]


def test_time_in_which_a_program_was_hindered_counts_once():
    evacuation = Evacuation("munster", begun_s=10.0, ended_s=30.0)
    hindrances = [
        Hindrance("store", 9.0, 12.0),
        Hindrance("upstream0", 11.0, 13.0),
    ]
    starts = [TaskStart(time_s, "j", 0, 1) for time_s in (17.9, 18.1)]
    assert evacuated_starts(starts, evacuation, hindrances) == [starts[1]]
