"""Check the system's invariants against backend servers' journals and callers' results."""

from collections import Counter
from collections.abc import Iterable
from itertools import pairwise
from typing import Any, NamedTuple

from spoolcrank.load import RequestResult

Journal = dict[str, Any]

_OVERLAP_TOLERANCE_S = 0.001
"""Maximum overlap with which two runs of one task still count as consecutive, seconds."""


class Breach(NamedTuple):
    """A violated invariant and the evidence of it."""

    invariant: str
    detail: str


def check(
    journals: list[Journal],
    results: Iterable[RequestResult],
    unrepeatable_jobs: Iterable[str] = (),
    lost_tasks: Iterable[str] = (),
) -> list[Breach]:
    """Return every breach that the journals and the request results show.

    Args:
        journals: The journals of all backend servers, including those that have stopped.
        results: The results of the requests as the callers recorded them.
        unrepeatable_jobs: The jobs whose tasks must not be repeated.
        lost_tasks: Tasks that the log records as lost with their server. They may run again, even
            if the server finished them before it was lost.
    """
    results = list(results)
    return [
        *_overcommits(journals),
        *_overlaps(journals),
        *_repeats(journals, set(lost_tasks)),
        *_forbidden_repeats(journals, unrepeatable_jobs),
        *_exceeded_slots(journals),
        *_wrong_answers(journals, results),
    ]


def _overcommits(journals: list[Journal]) -> list[Breach]:
    return [
        Breach("capacity", f"{journal['instance']}: {item}")
        for journal in journals
        for item in journal["overcommits"]
    ]


def _runs(journals: list[Journal]) -> dict[str, list[Journal]]:
    runs: dict[str, list[Journal]] = {}
    for journal in journals:
        for run in journal["runs"]:
            runs.setdefault(run["task"], []).append({**run, "instance": journal["instance"]})
    for task_runs in runs.values():
        task_runs.sort(key=lambda run: run["start"])
    return runs


def _overlaps(journals: list[Journal]) -> list[Breach]:
    breaches = []
    for task, runs in _runs(journals).items():
        for first, second in pairwise(runs):
            first_end = first["end"] if first["end"] is not None else float("inf")
            if second["start"] < first_end - _OVERLAP_TOLERANCE_S:
                detail = (
                    f"{task}: attempt {first['attempt']} on {first['instance']} until {first_end}, "
                    f"attempt {second['attempt']} on {second['instance']} from {second['start']}"
                )
                breaches.append(Breach("no concurrent runs", detail))
    return breaches


def _repeats(journals: list[Journal], lost_tasks: Iterable[str]) -> list[Breach]:
    """Find tasks that finished twice or ran after they finished, and repeated ends of attempts.

    An evicted attempt may resume, so the same attempt may be evicted more than once.
    """
    breaches = []
    for task, runs in _runs(journals).items():
        if runs[0]["job_class"] == "watcher" or task in lost_tasks:
            continue
        finished = [run for run in runs if run["how"] == "finished"]
        if len(finished) > 1:
            breaches.append(Breach("no repeated work", f"{task} finished {len(finished)} times"))
        if finished and runs[-1]["start"] > finished[0]["end"]:
            breaches.append(Breach("no repeated work", f"{task} ran again after it finished"))
        run_counts = Counter((run["attempt"], run["how"]) for run in runs)
        for (attempt, how), times in run_counts.items():
            if times > 1 and how not in ("evicted", "running"):
                breaches.append(
                    Breach("no repeated work", f"{task}: attempt {attempt} {how} {times} times")
                )
    return breaches


def _forbidden_repeats(journals: list[Journal], jobs: Iterable[str]) -> list[Breach]:
    breaches = []
    unrepeatable_jobs = set(jobs)
    for task, runs in _runs(journals).items():
        if task.rpartition(".")[0] not in unrepeatable_jobs:
            continue
        for first, second in pairwise(runs):
            if first["how"] not in ("evicted", "lapsed"):
                detail = f"{task} ran again after it {first['how']} on {first['instance']}"
                breaches.append(Breach("at most once", f"{detail}: {second['instance']}"))
    return breaches


def _exceeded_slots(journals: list[Journal]) -> list[Breach]:
    return [
        Breach("capacity", f"{journal['instance']}: {journal['runner_peak']} concurrent requests")
        for journal in journals
        if journal["runner_peak"] > journal["slots"] > 0
    ]


def _wrong_answers(journals: list[Journal], results: list[RequestResult]) -> list[Breach]:
    run_counts = Counter(req["request_id"] for journal in journals for req in journal["requests"])
    key_counts = Counter(
        req["key"] for journal in journals for req in journal["requests"] if req["key"]
    )
    breaches = [
        Breach("complete own answer", str(result)) for result in results if not result.whole
    ]
    for result in results:
        if result.told == "not-run" and result.request_id and run_counts[result.request_id]:
            breaches.append(Breach("not-run is accurate", str(result)))
    for key, times in key_counts.items():
        if times > 1:
            breaches.append(Breach("at most once", f"key {key} ran {times} times"))
    return breaches
