"""The capacity measurements run, whatever names the code that they measure has now."""

import pytest

from bench import capacity


# Guards against measurements that end with an AttributeError once a function has moved.
def test_every_cost_of_an_owner_is_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "SIZES", (6, 12))
    costs = capacity.measure_owner()
    assert [len(cost.at) for cost in costs] == [2] * len(costs)
    assert all(value > 0.0 for cost in costs for value in cost.at.values())
