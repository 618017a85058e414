"""Describe a logged wait of a task in plain words."""

from typing import Any

from spoolcrank.runner_hold import RunnerHold
from spoolcrank.task_hold import HoldReason

TASK_WAITS = "task-waits"
"""Name of the log event about a task that waits beside free capacity."""

REASONS: dict[HoldReason, str] = {
    HoldReason.EARLIER_STEP: "an earlier step to end",
    HoldReason.NOT_IN_READY_LIST: "nothing: its job is missing from the jobs that are placed",
    HoldReason.PLACES_NOTHING: "the leader, which places nothing as what it read is too old",
    HoldReason.RETRY_DELAY: "the delay after a failure or a crash",
    HoldReason.UNKNOWN_RUN: "the end of a run that the leader does not have",
    HoldReason.GANG_MEMBERS: "the other members of its gang to be released",
    HoldReason.GANG: "capacity for all members of its gang at once",
    HoldReason.ISOLATION: "a runner of its own, as it may crash runners",
    HoldReason.MOVE: "capacity on the runner to which it moves",
    HoldReason.NO_RUNNER: "a runner that takes work",
    HoldReason.NOT_ASKED: "an answer of a runner that could take it and was not asked lately",
    HoldReason.LABEL: "a runner with its label",
    HoldReason.SPREAD: "a runner with fewer tasks of its step",
    HoldReason.CAPACITY: "a runner with enough free capacity",
    HoldReason.RESERVE: "capacity that is not reserved for short tasks",
    HoldReason.PROCESSORS: "idle processors for a filler",
    HoldReason.OVER_TARGET: "serving tasks to get below their latency targets",
    HoldReason.HARM: "a runner where it slows no serving task too much",
    HoldReason.START_WINDOW: "the leader's link, which carries no more starts now",
    HoldReason.SHORTAGE: "a try: others at most as large found no runner",
    HoldReason.CLAIMED: "a job of better prospect, to which the next place of its kind is left",
    HoldReason.TRIED: "the present pass to end, in which it was tried",
    HoldReason.PLACEABLE: "nothing that is known: a runner could take it",
    HoldReason.RUN_UNKNOWN: "the end of a run that its runner is not known to have",
    HoldReason.RECORD_PENDING: "the record of its run to be written",
    HoldReason.UNORDERED_RUN: "the record of its run to be stored, or its start was never ordered",
    HoldReason.START_UNANSWERED: "the answer to its start",
    HoldReason.START_UNCONFIRMED: "the outcome of a start without an answer",
    HoldReason.STOP_UNFINISHED: "the end of a run that was ordered to stop",
}

RUNNERS: dict[RunnerHold, str] = {
    RunnerHold.GONE: "are gone",
    RunnerHold.UNLISTED: "are not listed",
    RunnerHold.LEAVING: "are leaving",
    RunnerHold.EVACUATED: "are in an evacuated zone",
    RunnerHold.NOT_TAKEN_OVER: "have not answered this leader",
    RunnerHold.SILENT: "do not answer",
    RunnerHold.OLD_ANSWER: "have not answered lately",
    RunnerHold.SILENT_ZONE: "are in a zone that answers no starts",
    RunnerHold.ISOLATED: "are kept for a suspect",
    RunnerHold.QUARANTINED: "are quarantined",
}

_RUNNER_WORDS = {hold.value: words for hold, words in RUNNERS.items()}
_REASON_WORDS = {reason.value: words for reason, words in REASONS.items()}


def describe_wait(fields: dict[str, Any]) -> str:
    """Return the fields of a logged wait as one line; unknown values are shown as they are."""
    obstacle = str(fields.get("obstacle", ""))
    words = f"task={fields.get('task')} waits since {fields.get('waited_s')} s for "
    words += _REASON_WORDS.get(obstacle, obstacle)
    if fields.get("runner"):
        words += f" ({fields['runner']})"
    if fields.get("left_s") is not None:
        words += f", for at most {fields['left_s']} s more"
    free_percent = round(float(fields.get("free_share") or 0.0) * 100)
    words += f"; {fields.get('service')}: {free_percent} % free"
    words += f", {fields.get('pool')} of {fields.get('listed')} runners take work"
    return "; ".join([words, *_describe_runners(fields.get("runners") or {})])


def _describe_runners(runners: dict[str, int]) -> list[str]:
    return [
        f"{count} {_RUNNER_WORDS.get(hold, f'cannot take it: {hold}')}"
        for hold, count in runners.items()
    ]
