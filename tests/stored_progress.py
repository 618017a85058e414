"""Hold what the records of jobs say is done: no later record may take it back."""

from spoolcrank.keyed_log import KeyedRecord, RecordKind, job_of_key, kind_of
from spoolcrank.reading import Unreadable
from spoolcrank.workflow import Phase, Progress, TaskKey, decode_progress

Step = tuple[str, int, int]
"""Job, round and step."""


class DoneTasks:
    """What the newest record of each job says is done."""

    def __init__(self) -> None:
        self._tasks: dict[str, set[TaskKey]] = {}
        self._steps: dict[str, set[Step]] = {}
        self._rounds: dict[str, int] = {}

    def take(self, record: KeyedRecord) -> list[str]:
        """Take a record; returns what was done by an earlier one and is not by this."""
        if kind_of(record.key) is not RecordKind.PROGRESS or not record.value:
            return []
        try:
            job, progress = job_of_key(record.key), decode_progress(record.value)
        except Unreadable:
            # Another writer's: a leader leaves such a job alone, so nothing is said of it.
            return []
        tasks = {
            TaskKey(job, mark.round, mark.step, task.index)
            for mark in progress.steps
            for task in mark.tasks
            if task.phase == Phase.DONE.value
        }
        steps = {(job, mark.round, mark.step) for mark in progress.steps if mark.done}
        back = self._gone_back(job, progress, tasks, steps)
        self._tasks[job], self._steps[job] = tasks, steps
        self._rounds[job] = progress.rounds_done
        return back

    def _gone_back(
        self, job: str, progress: Progress, tasks: set[TaskKey], steps: set[Step]
    ) -> list[str]:
        back = []
        if progress.rounds_done < self._rounds.get(job, 0):
            back.append(f"rounds of {job}: {self._rounds[job]} to {progress.rounds_done}")
        for step in self._steps.get(job, set()) - steps:
            if step[1] >= progress.rounds_done:
                back.append(f"step {step}")
        for task in self._tasks.get(job, set()) - tasks:
            finished = (job, task.round, task.step) in steps
            if not finished and task.round >= progress.rounds_done:
                back.append(f"task {task}")
        return back
