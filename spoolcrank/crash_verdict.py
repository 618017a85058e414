"""Judge by the crash evidence of a task whether it crashes the runners that start it.

Every task on a runner that crashes is a suspect, and at most one of them is the cause. The age of
the runs shows which one: a crash-causing task takes down one runner after another soon after its
starts, even where nothing else began there recently. Other tasks are hit by crashes at any age, as
often as runners crash anyway.

A gang on many runners loses one of them far more often than a single task loses its own. Its
evidence is stored at its first task, but each member is judged by the crashes of the runners on
which that member ran, and the gang as a whole by the time that it spent on all of its runners.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from spoolcrank.workflow import CrashEvidence, TaskKey

MAX_CRASHES_PER_TASK = 6
"""Maximum number of crashes stored for one task, the newest; five are enough to give it up."""

MIN_CRASHES = 3
"""Minimum number of crashes before a task is given up, because another task that started on the
same runner may have caused any one of them."""

MIN_CRASHES_ALONE = 2
"""Minimum number, among MIN_CRASHES, of crashes in which nothing else on the runner could have been
the cause."""

MIN_CRASHES_OF_MEMBER = 2
"""Minimum number of crashes under one member before its gang is given up as a whole: the platform
permits that only for a task under which two runners crashed."""

MAX_FALSE_POSITIVE_PROBABILITY = 1e-4
"""Maximum probability of giving up a task that causes no crashes: a task is given up if ordinary
crashes would hit such a task this often, this early, with at most this probability."""

CERTAIN_CRASHES = 5
"""Number of crashes, none of them known to be late after the start, after which a task is given
up at any rate of ordinary crashes: a period with several crash-causing tasks raises that rate
too. At most two starts after the third crash are allowed, so the sixth start must not happen."""

MAX_EARLY_LIFETIME_S = 2.5
"""Maximum lifetime of a run that counts as lost soon after its start, in seconds: a silent
runner is detected up to 1.6 s late."""

MAX_SHARED_EARLY_LIFETIME_S = 1.2
"""Maximum lifetime, in seconds, of a run lost together with many others for the loss to count
towards CERTAIN_CRASHES: few runs are that young at one power loss, and hardly any at five."""

MAX_GANG_EARLY_LIFETIME_S = 1.2
"""Maximum lifetime, in seconds, of each run of a gang for CERTAIN_CRASHES of them to prove that it
crashes runners; random restarts rarely make as many runs of another gang that short."""

MIN_LIFETIME_S = 0.05
"""Minimum lifetime used in the calculation, in seconds: the time for an order and its answer,
below which the age of a run carries no information."""

ISOLATE_AFTER_CRASHES = 2
"""Number of crashes after which a task is isolated. Isolation after the first one would hold
up more work than it saves, as most tasks on a runner that crashes did not cause the crash."""

OUTLIVE_FACTOR = 2.0
"""Multiple of the longest lifetime among the runs whose runners crashed, past which a run clears
its task; it covers a run at half the pace."""

OUTLIVE_MARGIN_S = 1.0
"""Time beyond that multiple that such a run must live as well, in seconds."""


def with_evidence(
    entries: Sequence[CrashEvidence], evidence: CrashEvidence
) -> tuple[CrashEvidence, ...]:
    """Return the crash evidence with one more entry, at most one for each runner and for each run.

    One run of a gang may end with several runners, which is no more evidence than one crash.
    """
    newest = [entry for entry in entries if entry.runner != evidence.runner]
    same_run = next((entry for entry in newest if entry.run and entry.run == evidence.run), None)
    if same_run is not None:
        newest.remove(same_run)
        evidence = _merge(same_run, evidence)
    newest.append(evidence)
    while len(newest) > MAX_CRASHES_PER_TASK:
        newest.remove(next((entry for entry in newest if entry.shared), newest[0]))
    return tuple(newest)


def _merge(first: CrashEvidence, second: CrashEvidence) -> CrashEvidence:
    """Return the evidence of one run of a gang that ended with two runners.

    The members on a runner that failed from a common cause are not among those of a crash. The run
    caused a crash alone if nothing else can have caused one of the two.
    """
    stronger = max(first, second, key=lambda entry: (not entry.shared, entry.proved, entry.alone))
    if first.shared != second.shared:
        return stronger
    members_known = bool(first.members and second.members)
    return msgspec.structs.replace(
        stronger,
        members=tuple(sorted({*first.members, *second.members})),
        alone=first.alone or second.alone,
        lost=first.lost + second.lost if members_known else 1,
    )


def evidence_by_task(
    key: TaskKey, entries: Sequence[CrashEvidence]
) -> dict[TaskKey, list[CrashEvidence]]:
    """Return the evidence against each task that it can concern.

    Args:
        key: the task that keeps the evidence, the first one of a gang.
        entries: crash evidence kept there; entries of a gang whose members are unknown concern no
            task where those of others are known.
    """
    members = sorted({member for entry in entries for member in entry.members})
    if not members:
        return {key: list(entries)}
    return {
        key._replace(number=member): [entry for entry in entries if member in entry.members]
        for member in members
    }


def independent_crashes(entries: Sequence[CrashEvidence]) -> list[CrashEvidence]:
    """Return the crashes that had no common cause with others."""
    return [entry for entry in entries if not entry.shared]


def needs_isolation(entries: Sequence[CrashEvidence]) -> bool:
    """Return whether the next run of a task needs a runner of its own."""
    return len(independent_crashes(entries)) >= ISOLATE_AFTER_CRASHES


def clears_after_s(entries: Sequence[CrashEvidence]) -> float:
    """Return the lifetime, in seconds, at which a run clears its task of the crash evidence."""
    return OUTLIVE_FACTOR * max(entry.lived_ms for entry in entries) / 1000.0 + OUTLIVE_MARGIN_S


def lived_s(entries: Iterable[CrashEvidence]) -> float:
    """Return how long the runs of the evidence lived in all, in seconds, as far as it is known."""
    return sum(_lived_s(entry) for entry in entries)


def _lived_s(entry: CrashEvidence) -> float:
    return max(MIN_LIFETIME_S, entry.lived_ms / 1000.0) if entry.lived_ms else 0.0


def causes_crashes(
    entries: Sequence[CrashEvidence],
    crashes_per_s: float,
    survived_s: float = 0.0,
    candidates: int = 1,
) -> bool:
    """Return whether the evidence proves that a task crashes runners.

    Args:
        entries: crash evidence against the task.
        crashes_per_s: crash rate of one runner, per second, without the task.
        survived_s: time that the task ran beside this evidence without a crash of its runner,
            seconds.
        candidates: number of tasks that are judged beside each other, as the members of a gang are:
            the more there are, the likelier ordinary crashes hit one of them often.
    """
    independent = independent_crashes(entries)
    early_shared = [
        entry
        for entry in entries
        if entry.shared and 0 < entry.lived_ms <= MAX_SHARED_EARLY_LIFETIME_S * 1000.0
    ]
    all_early = all(entry.lived_ms <= MAX_EARLY_LIFETIME_S * 1000.0 for entry in independent)
    if all_early and independent and len(independent) + len(early_shared) >= CERTAIN_CRASHES:
        return True
    # All known lifetimes count, not only those without other possible causes: the shorter a run
    # lived, the more often it is the only possible cause.
    known = [entry for entry in independent if entry.lived_ms]
    expected = crashes_per_s * (lived_s(known) + survived_s)
    return _suffices(independent) and _is_improbable(len(known), expected, candidates)


def gang_causes_crashes(entries: Sequence[CrashEvidence], crashes_per_s: float) -> bool:
    """Return whether the evidence proves that a gang crashes runners, by any of its members.

    Args:
        entries: crash evidence of the gang, one entry for each run.
        crashes_per_s: crash rate of one runner, per second.
    """
    independent = independent_crashes(entries)
    by_member = Counter(member for entry in independent for member in entry.members)
    if max(by_member.values(), default=0) < MIN_CRASHES_OF_MEMBER:
        return False
    known = [entry for entry in independent if entry.lived_ms]
    expected = crashes_per_s * sum(_lived_s(entry) * entry.runners for entry in known)
    crashes = sum(entry.lost for entry in known)
    return _suffices(independent) and _is_improbable(crashes, expected)


def gang_keeps_crashing(entries: Sequence[CrashEvidence]) -> bool:
    """Return whether a gang lost CERTAIN_CRASHES runs at once, three or more of them by one member.

    Ordinary crashes do not explain that at any rate. Without this rule a gang of which each member
    crashes its runner had three starts after the third crash of one member.
    """
    independent = independent_crashes(entries)
    by_member = Counter(member for entry in independent for member in entry.members)
    return (
        len(independent) >= CERTAIN_CRASHES
        and max(by_member.values(), default=0) >= MIN_CRASHES
        and all(0 < entry.lived_ms <= MAX_GANG_EARLY_LIFETIME_S * 1000.0 for entry in independent)
    )


def _suffices(crashes: Sequence[CrashEvidence]) -> bool:
    """Return whether there are enough crashes, and enough without another possible cause."""
    alone = [entry for entry in crashes if entry.alone]
    if len(crashes) < MIN_CRASHES or len(alone) < MIN_CRASHES_ALONE:
        return False
    # Repeated crashes on one machine may be caused by the machine.
    return len({entry.address for entry in alone}) >= MIN_CRASHES_ALONE


def _is_improbable(crashes: int, expected: float, candidates: int = 1) -> bool:
    probability = candidates * probability_upper_bound(crashes, expected)
    return probability <= MAX_FALSE_POSITIVE_PROBABILITY


def probability_upper_bound(crashes: int, expected: float) -> float:
    """Return an upper bound of the probability of this many crashes or more.

    Args:
        crashes: number of crashes.
        expected: expected number of crashes.
    """
    return min(1.0, math.pow(expected, crashes) / math.factorial(crashes))
