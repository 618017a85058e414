"""Check that work which a stored record of a job shows as done stays done in later records."""

from spoolcrank.decoding import Unreadable
from spoolcrank.keyed_log import KeyedRecord, RecordKind, job_of_key, kind_of
from spoolcrank.workflow import Phase, Progress, TaskKey, decode_progress

Step = tuple[str, int, int]
"""Job, round and step."""


class CompletedWork:
    """The tasks, steps and rounds that are done by the newest record of each job."""

    def __init__(self) -> None:
        self._tasks: dict[str, set[TaskKey]] = {}
        self._steps: dict[str, set[Step]] = {}
        self._rounds: dict[str, int] = {}

    def find_regressions(self, record: KeyedRecord) -> list[str]:
        """Record the progress of a job, and return the work that was done and is not any more."""
        if kind_of(record.key) is not RecordKind.PROGRESS or not record.value:
            return []
        try:
            job, progress = job_of_key(record.key), decode_progress(record.value)
        except Unreadable:
            # The record is of another writer. A leader ignores such a job, so it is not checked.
            return []
        tasks = {
            TaskKey(job, stored_step.round, stored_step.step, task.index)
            for stored_step in progress.steps
            for task in stored_step.tasks
            if task.phase == Phase.DONE.value
        }
        steps = {
            (job, stored_step.round, stored_step.step)
            for stored_step in progress.steps
            if stored_step.done
        }
        regressions = self._compare_with_previous(job, progress, tasks, steps)
        self._tasks[job], self._steps[job] = tasks, steps
        self._rounds[job] = progress.rounds_done
        return regressions

    def _compare_with_previous(
        self, job: str, progress: Progress, tasks: set[TaskKey], steps: set[Step]
    ) -> list[str]:
        regressions = []
        if progress.rounds_done < self._rounds.get(job, 0):
            regressions.append(f"rounds of {job}: {self._rounds[job]} to {progress.rounds_done}")
        for step in self._steps.get(job, set()) - steps:
            if step[1] >= progress.rounds_done:
                regressions.append(f"step {step}")
        for task in self._tasks.get(job, set()) - tasks:
            finished = (job, task.round, task.step) in steps
            if not finished and task.round >= progress.rounds_done:
                regressions.append(f"task {task}")
        return regressions
