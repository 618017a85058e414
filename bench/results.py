"""Summaries of paired runs, as entries of `bench/results.json`."""

import statistics
from typing import Any


def result_entry(
    measure: str, unit: str, better: str, baseline: list[float], policy: list[float]
) -> dict[str, Any]:
    """Summarise paired runs by their medians and the median of the ratios of the pairs.

    The ratio of a pair is policy to baseline; pairs with a baseline of 0 have none.
    """
    pairs = zip(policy[:: _stride(policy, baseline)], baseline, strict=False)
    ratios = [
        policy_value / baseline_value for policy_value, baseline_value in pairs if baseline_value
    ]
    return {
        "measure": measure,
        "unit": unit,
        "better": better,
        "baseline": round(statistics.median(baseline), 3),
        "policy": round(statistics.median(policy), 3),
        "ratio": round(statistics.median(ratios), 3) if ratios else None,
        "runs": len(policy),
        "all": {"baseline": baseline, "policy": policy},
    }


def _stride(policy: list[float], baseline: list[float]) -> int:
    """Return the step between the policy's runs that have a partner in the baseline.

    A baseline of another length ran only with every second run of the policy.
    """
    return 1 if len(policy) == len(baseline) else 2
