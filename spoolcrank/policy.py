"""Define and check the published configuration: each setting with unit, default and limits."""

import tomllib
from typing import Any, Literal

import tomli_w
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.jobs import refusal_of


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Leases(_Section):
    """Task leases and the timing of ownership, in seconds."""

    lease_s: float = Field(
        6.0, ge=1, le=60, description="duration of a task's lease on its server, s"
    )
    renew_s: float = Field(1.0, ge=0.1, le=20, description="interval between lease renewals, s")
    margin_s: float = Field(
        2.0, ge=0.4, le=20, description="margin for clock differences and message delays, s"
    )
    fence_s: float = Field(
        3.0,
        ge=0.5,
        le=30,
        description="time without a witness after which an owner stops acting, s",
    )


class Membership(_Section):
    """How entry instances monitor each other, in seconds."""

    heartbeat_s: float = Field(
        0.25, ge=0.05, le=5, description="heartbeat interval within an availability zone, s"
    )
    far_heartbeat_s: float = Field(
        0.5, ge=0.05, le=10, description="heartbeat interval between availability zones, s"
    )
    dead_after_s: float = Field(
        1.5,
        ge=0.3,
        le=30,
        description="time without a heartbeat after which a peer counts as dead, s",
    )


class Routing(_Section):
    """How callers' requests are routed."""

    deadline_ms: float = Field(
        2000.0, ge=10, le=120_000, description="deadline of a request that sets none, ms"
    )
    queue_per_slot: float = Field(
        2.0,
        ge=0,
        le=50,
        description="maximum number of queued requests per known slot of the service",
    )
    retry_share: float = Field(
        0.1, ge=0, le=1, description="maximum number of retries and hedges, as a share of requests"
    )
    hedge_after: float = Field(
        3.0,
        ge=0,
        le=100,
        description="hedge after this multiple of the usual latency; 0 disables hedging",
    )
    steer_ratio: float = Field(
        1.3, ge=1, le=100, description="forward if the local runner costs this multiple of a peer's"
    )
    suspect_failures: int = Field(
        3, ge=1, le=100, description="consecutive failures after which a runner gets no requests"
    )
    probe_s: float = Field(
        2.0, ge=0.1, le=60, description="interval between probes of such a runner, s"
    )
    slow_ratio: float = Field(
        2.5,
        ge=1.1,
        le=100,
        description="a latency of this multiple of its peers' halves a runner's slots",
    )


class Placement(_Section):
    """How tasks are placed on servers."""

    slot_processors: float = Field(
        1.0, ge=0, le=64, description="cores reserved for each runner slot in use"
    )
    slot_memory_mb: float = Field(
        256.0, ge=0, le=65_536, description="memory reserved for each runner slot, MB"
    )
    urgent_reserve: float = Field(
        0.05, ge=0, le=0.9, description="share of a server reserved for urgent work"
    )
    urgent_from: int = Field(7, ge=0, le=9, description="lowest urgency that counts as urgent")
    next_owner_s: float = Field(
        0.3,
        ge=0,
        le=10,
        description="delay after which twice as many owners may place a task, s",
    )
    aging_s: float = Field(
        60.0,
        ge=1,
        le=86_400,
        description="waiting time that raises the urgency of a task by one, s",
    )
    strategy: Literal["tight", "first-fit"] = Field(
        "tight", description="strategy for choosing a server; first-fit is the baseline"
    )
    learn_sizes: bool = Field(True, description="correct declared sizes by measured use")
    unknown_factor: float = Field(
        1.0,
        ge=1,
        le=10,
        description="factor on the declared size until the use of the class is known",
    )


class Interference(_Section):
    """How batch work is limited to protect services."""

    enabled: bool = Field(True, description="whether batch work is limited at all")
    ladder: bool = Field(
        True, description="throttle before evicting; if false, each violation evicts (the baseline)"
    )
    target_ratio: float = Field(
        1.5,
        ge=1.01,
        le=20,
        description="ratio of latency to its calm level that triggers mitigation",
    )
    calm_ratio: float = Field(
        1.2,
        ge=1.0,
        le=20,
        description="ratio of latency to its calm level that allows work to recover",
    )
    react_s: float = Field(
        0.5, ge=0.05, le=60, description="interval between two mitigation steps, s"
    )
    regrow_s: float = Field(
        5.0, ge=0.1, le=600, description="calm time before each recovery step, s"
    )
    throttle: float = Field(
        0.3, ge=0.01, le=1, description="share of full speed of a throttled task"
    )
    evictions_per_minute: float = Field(
        4.0, ge=0, le=1000, description="maximum evictions per minute and owner"
    )
    forget_s: float = Field(
        300.0, ge=1, le=86_400, description="half-life of a learned slowdown, s"
    )
    sheltered_share: float = Field(
        0.34, ge=0, le=1, description="share of a zone's runners reserved for quiet work"
    )
    quiet_slowdown: float = Field(
        0.05, ge=0, le=10, description="learned slowdown up to which a class counts as quiet"
    )
    patience_s: float = Field(
        30.0, ge=0, le=86_400, description="waiting time after which a task may join any runner, s"
    )
    tail_share: float = Field(
        0.004,
        ge=0,
        le=1,
        description="share of a service's requests that must be slow on one server for mitigation",
    )


class Policy(_Section):
    """The complete configuration as operators publish it."""

    leases: Leases = Leases()  # type: ignore[call-arg]
    membership: Membership = Membership()  # type: ignore[call-arg]
    routing: Routing = Routing()  # type: ignore[call-arg]
    placement: Placement = Placement()  # type: ignore[call-arg]
    interference: Interference = Interference()  # type: ignore[call-arg]
    quotas: dict[str, float] = Field(
        default={}, description="maximum number of cores that a team's tasks may hold at once"
    )


DEFAULT = Policy()


def parse(text: str) -> Result[Policy, Refusal]:
    """Parse a configuration in TOML, or return a refusal that names the invalid fields."""
    try:
        return Success(Policy.model_validate(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as exc:
        return Failure(Refusal(ErrorKind.BAD_CONFIG, f"invalid TOML: {exc}"))
    except ValidationError as exc:
        return Failure(refusal_of(exc, ErrorKind.BAD_CONFIG))


def with_value(text: str, key: str, value: str) -> Result[str, Refusal]:
    """Return the configuration `text` with one dotted key set.

    Args:
        text: a configuration in TOML.
        key: the dotted key, such as `routing.deadline_ms`.
        value: a TOML value; text that is not valid TOML is used as a string.
    """
    tree = tomllib.loads(text)
    node = tree
    *sections, name = key.split(".")
    for section in sections:
        node = node.setdefault(section, {})
        if not isinstance(node, dict):
            return Failure(Refusal(ErrorKind.BAD_CONFIG, f"{section} is not a section", key))
    node[name] = _parse_value(value)
    changed = tomli_w.dumps(tree)
    return parse(changed).map(lambda _: changed)


def _parse_value(text: str) -> Any:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def flatten(text: str) -> dict[str, str]:
    """Return all settings of a configuration by dotted key, including defaults."""
    policy = parse(text).value_or(DEFAULT)
    flat: dict[str, str] = {}
    for section, values in policy.model_dump().items():
        for name, value in values.items():
            flat[f"{section}.{name}"] = str(value)
    return flat


def is_valid(text: str) -> bool:
    """Return whether a configuration passes its check."""
    return isinstance(parse(text), Success)
