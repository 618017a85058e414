"""Check the published configuration: every setting with its unit, default and bounds."""

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
    """Leases of tasks and the times that ownership rests on, in seconds."""

    lease_s: float = Field(6.0, ge=1, le=60, description="a task's lease on its server, s")
    renew_s: float = Field(1.0, ge=0.1, le=20, description="between two renewals, s")
    margin_s: float = Field(2.0, ge=0.4, le=20, description="added for clocks and messages, s")
    fence_s: float = Field(
        3.0, ge=0.5, le=30, description="an owner that nobody witnessed so long acts no more, s"
    )


class Membership(_Section):
    """How entry instances watch each other, in seconds."""

    heartbeat_s: float = Field(0.25, ge=0.05, le=5, description="within an availability zone, s")
    far_heartbeat_s: float = Field(0.5, ge=0.05, le=10, description="between availability zones, s")
    dead_after_s: float = Field(
        1.5, ge=0.3, le=30, description="without a heartbeat a peer counts as dead, s"
    )


class Routing(_Section):
    """How callers' requests are routed."""

    deadline_ms: float = Field(
        2000.0, ge=10, le=120_000, description="a request's time where it names none, ms"
    )
    queue_per_slot: float = Field(
        2.0, ge=0, le=50, description="requests that may wait, per known slot of the service"
    )
    retry_share: float = Field(
        0.1, ge=0, le=1, description="retries and hedges, as a share of requests"
    )
    hedge_after: float = Field(
        3.0, ge=0, le=100, description="hedge after this many times the usual latency; 0 never"
    )
    steer_ratio: float = Field(
        1.3, ge=1, le=100, description="forward when our own runner costs so many times a peer's"
    )
    suspect_failures: int = Field(
        3, ge=1, le=100, description="failures in a row that take a runner out"
    )
    probe_s: float = Field(2.0, ge=0.1, le=60, description="between probes of such a runner, s")
    slow_ratio: float = Field(
        2.5,
        ge=1.1,
        le=100,
        description="this many times its peers' latency halves a runner's slots",
    )


class Placement(_Section):
    """How tasks are given to servers."""

    slot_processors: float = Field(
        1.0, ge=0, le=64, description="cores kept free for each slot of a runner in use"
    )
    slot_memory_mb: float = Field(
        256.0, ge=0, le=65_536, description="memory kept free for each slot of a runner, MB"
    )
    urgent_reserve: float = Field(
        0.05, ge=0, le=0.9, description="share of a server that only urgent work may take"
    )
    urgent_from: int = Field(7, ge=0, le=9, description="urgency from which work is urgent")
    next_owner_s: float = Field(
        0.3, ge=0, le=10, description="each further owner waits so much longer, s"
    )
    aging_s: float = Field(
        60.0, ge=1, le=86_400, description="waiting so long raises a task by one urgency, s"
    )
    strategy: Literal["tight", "first-fit"] = Field(
        "tight", description="how a server is chosen; first-fit is the baseline"
    )
    learn_sizes: bool = Field(True, description="correct declared sizes by what was really used")
    unknown_factor: float = Field(
        1.0, ge=1, le=10, description="declared size times this, until the class is known"
    )


class Interference(_Section):
    """How batch work gives way to services."""

    enabled: bool = Field(True, description="whether batch work gives way at all")
    ladder: bool = Field(
        True, description="throttle first; without it each violation evicts (the baseline)"
    )
    target_ratio: float = Field(
        1.5, ge=1.01, le=20, description="latency over its calm level that calls for action"
    )
    calm_ratio: float = Field(
        1.2, ge=1.0, le=20, description="latency over its calm level that lets work grow back"
    )
    react_s: float = Field(0.5, ge=0.05, le=60, description="between two steps down the ladder, s")
    regrow_s: float = Field(5.0, ge=0.1, le=600, description="calm time before each step back, s")
    throttle: float = Field(0.3, ge=0.01, le=1, description="share of speed left when throttled")
    evictions_per_minute: float = Field(
        4.0, ge=0, le=1000, description="budget of evictions of one owner"
    )
    forget_s: float = Field(300.0, ge=1, le=86_400, description="half life of a learnt pair, s")
    sheltered_share: float = Field(
        0.34, ge=0, le=1, description="share of a zone's runners that only quiet work may join"
    )
    quiet_slowdown: float = Field(
        0.05, ge=0, le=10, description="learnt slowdown up to which a class is quiet"
    )
    patience_s: float = Field(
        30.0, ge=0, le=86_400, description="waiting so long, work may join any runner, s"
    )
    tail_share: float = Field(
        0.004, ge=0, le=1, description="slow requests of one server, as a share of the service's"
    )


class Policy(_Section):
    """The whole configuration as operators publish it."""

    leases: Leases = Leases()  # type: ignore[call-arg]
    membership: Membership = Membership()  # type: ignore[call-arg]
    routing: Routing = Routing()  # type: ignore[call-arg]
    placement: Placement = Placement()  # type: ignore[call-arg]
    interference: Interference = Interference()  # type: ignore[call-arg]
    quotas: dict[str, float] = Field(default={}, description="cores that a team may hold at once")


DEFAULT = Policy()


def parse(text: str) -> Result[Policy, Refusal]:
    """Read a configuration in TOML, or say which fields are wrong."""
    try:
        return Success(Policy.model_validate(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as exc:
        return Failure(Refusal(ErrorKind.BAD_CONFIG, f"not TOML: {exc}"))
    except ValidationError as exc:
        return Failure(refusal_of(exc, ErrorKind.BAD_CONFIG))


def with_value(text: str, key: str, value: str) -> Result[str, Refusal]:
    """Return the configuration `text` with one dotted key set.

    Args:
        text: a configuration in TOML.
        key: such as `routing.deadline_ms`.
        value: a TOML value; bare words are taken as strings.
    """
    tree = tomllib.loads(text)
    node = tree
    *sections, name = key.split(".")
    for section in sections:
        node = node.setdefault(section, {})
        if not isinstance(node, dict):
            return Failure(Refusal(ErrorKind.BAD_CONFIG, f"{section} is not a section", key))
    node[name] = _value(value)
    changed = tomli_w.dumps(tree)
    return parse(changed).map(lambda _: changed)


def _value(text: str) -> Any:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def flatten(text: str) -> dict[str, str]:
    """Return every setting of a configuration by its dotted key, defaults included."""
    policy = parse(text).value_or(DEFAULT)
    flat: dict[str, str] = {}
    for section, values in policy.model_dump().items():
        for name, value in values.items():
            flat[f"{section}.{name}"] = str(value)
    return flat


def is_valid(text: str) -> bool:
    """Tell whether a configuration passes its check."""
    return isinstance(parse(text), Success)
