"""State the gauges that only a leader has."""

from spoolcrank.scheduler import Scheduler


def leader_gauges(state: Scheduler) -> dict[str, float]:
    """Return the gauges of a leader by name."""
    return {
        "jobs": len(state.jobs),
        "runs": sum(len(runner.runs) for runner in state.runners.values()),
        "jobs_waiting": sum(1 for _ in state.waiting_jobs()),
        "start_window_bytes": round(state.starts.limit),
        "starts_waiting": len(state.starts.waiting),
        "jobs_held": state.hold_watch.held,
        "runners_kept_for_short": state.short_rooms.runner_count,
        "wide_task_millicores": state.short_rooms.wide_millicores,
    }
