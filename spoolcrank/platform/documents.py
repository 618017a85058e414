"""Decode the configuration, the runners' entries and the jobs that clients submit."""

from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec

from spoolcrank.decoding import Unreadable, raises_unreadable
from spoolcrank.errors import ErrorKind, Refusal, SpoolcrankError
from spoolcrank.ids import Address, AvailabilityZone, ServiceName
from spoolcrank.keyed_log import KeyedLog
from spoolcrank.routes import Route, RouteTable
from spoolcrank.runner_ids import START_SEPARATOR, RunnerName, runner_id
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.workflow import Demand, RouteName, Step, Workflow

MAX_ENTRY_BYTES = 16_384
"""Maximum size of a runner's entry, bytes; usual entries take about 400 bytes."""

MAX_PORT = 65_535

MAX_AMOUNT = 1_000_000_000
"""Maximum amount of one resource: a million cores in thousandths, or a petabyte in MB.

No runner has as much.
"""

_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Born = Annotated[int, msgspec.Meta(ge=0)]
_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Route(msgspec.Struct):
    name: _Name
    host: str
    prefix: str = msgspec.field(name="pathPrefix")
    service: _Name
    # For a queue, this is the fixed part of a job's completion time, not of the response time.
    objective_ms: int = msgspec.field(name="sloMs", default=0)
    priority: int = 0
    # Limits the failed runs of a task, not the attempts of the client.
    max_attempts: int = msgspec.field(name="maxAttempts", default=1)
    stretch: float = 1.0


class _Service(msgspec.Struct):
    name: str
    spare: bool = False


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []


class _Capacity(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = msgspec.field(name="memMb", default=0)
    gpu: _Amount = 0


class _Server(msgspec.Struct):
    service: _Name
    address: str
    state: Literal["ready", "draining"]
    zone: str = ""
    born: _Born | None = None
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []


class _Step(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    mem_mb: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0
    estimate_ms: float = msgspec.field(name="estimateMs", default=0)
    # Numbers of earlier steps, not a revision as the platform's field name suggests.
    after: tuple[int, ...] = msgspec.field(name="afterRev", default=())
    checkpoints: bool = msgspec.field(name="savesProgress", default=False)
    gang: bool = False
    same_rack: bool = msgspec.field(name="sameRack", default=False)
    label: str = msgspec.field(name="requires", default="")
    data_rack: str = msgspec.field(name="affinity", default="")
    # Maximum number of the step's tasks on one runner, not a ban as the platform's field name
    # suggests.
    max_per_instance: int = msgspec.field(name="antiAffinity", default=0)
    copies: bool = msgspec.field(name="speculative", default=False)
    lasting: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_be_away: int = msgspec.field(name="may_miss", default=-1)


class _Job(msgspec.Struct):
    payload: str = msgspec.field(name="spec", default="")
    steps: tuple[_Step, ...] = ()
    rounds: int = msgspec.field(name="repeatCount", default=0)
    first_at_ms: float = msgspec.field(name="startMs", default=0)
    interval_ms: float = msgspec.field(name="intervalMs", default=0)


_COUNTER = b'"callSeq":'
_EVACUATION_PREFIX = "evacuate/"
_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_server = msgspec.json.Decoder(_Server).decode
_decode_job = msgspec.json.Decoder(_Job).decode


@raises_unreadable
def decode_configuration(value: bytes) -> RouteTable:
    """Decode the operator's configuration; raise Unreadable if any part of it is invalid."""
    raw = _decode_configuration(value)
    if len({route.name for route in raw.routes}) < len(raw.routes):
        raise ValueError("routes: two routes have the same name")
    routes = tuple(
        Route(
            RouteName(route.name),
            route.host,
            route.prefix,
            ServiceName(route.service),
            route.priority,
            route.max_attempts,
            route.objective_ms,
            route.stretch,
        )
        for route in raw.routes
    )
    return RouteTable(raw.version, routes)


def evacuated_zones(copy: KeyedLog) -> frozenset[AvailabilityZone]:
    """Return the zones that the operator evacuates: no new runs may start in them."""
    return frozenset(
        AvailabilityZone(key.removeprefix(_EVACUATION_PREFIX))
        for key, record in copy.newest.items()
        if key.startswith(_EVACUATION_PREFIX) and record.value
    )


def decode_runner_entry(runner: str, value: bytes) -> RunnerEntry:
    """Decode a runner's entry in the list of runners; raise Unreadable if it is invalid."""
    if START_SEPARATOR in runner:
        raise Unreadable(f"{runner!r} is not a valid runner name")
    raw = _decode_valid_server(value)
    return RunnerEntry(
        runner_id(RunnerName(runner), raw.born),
        Address(raw.address),
        AvailabilityZone(raw.zone),
        ServiceName(raw.service),
        Demand(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        frozenset(raw.labels),
        leaving=raw.state != "ready",
    )


def is_heartbeat(entry: bytes, newer: bytes) -> bool:
    """Return whether a runner's entry only repeats an earlier one with its counter raised.

    False if that does not show without decoding them.
    """
    start = entry.find(_COUNTER)
    if start < 0 or entry.find(_COUNTER, start + 1) >= 0 or newer[:start] != entry[:start]:
        return False
    start += len(_COUNTER)
    return newer[:start].endswith(_COUNTER) and _after_number(entry, start) == _after_number(
        newer, start
    )


def _after_number(entry: bytes, start: int) -> bytes:
    """Return what follows the digits at a position."""
    return entry[start:].lstrip(b" ").lstrip(b"0123456789")


@raises_unreadable
def _decode_valid_server(value: bytes) -> _Server:
    if len(value) > MAX_ENTRY_BYTES:
        raise ValueError(f"{len(value)} bytes exceed the maximum size of an entry")
    raw = _decode_server(value)
    _check_address(raw.address)
    return raw


def _check_address(address: str) -> None:
    """Raise ValueError unless the address is `IP:PORT`.

    A host name is refused because its DNS lookup would block.
    """
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{address!r} has no valid port")


def decode_workflow(body: bytes) -> Workflow:
    """Decode a client's job; raise SpoolcrankError with the invalid field or syntax error."""
    try:
        raw = _decode_job(body)
    except msgspec.ValidationError as exc:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_FIELD, str(exc))) from exc
    except (msgspec.DecodeError, RecursionError) as exc:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_JSON, str(exc))) from exc
    workflow = Workflow(
        raw.payload,
        tuple(_step(step) for step in raw.steps),
        raw.rounds,
        int(raw.first_at_ms),
        int(raw.interval_ms),
    )
    problem = workflow.problem()
    if problem:
        raise SpoolcrankError(Refusal(ErrorKind.BAD_FIELD, problem))
    return workflow


def _step(raw: _Step) -> Step:
    return Step(
        count=raw.count,
        millicores=raw.cpu,
        memory_mb=raw.mem_mb,
        accelerators=raw.gpu,
        estimate_ms=int(raw.estimate_ms),
        after=raw.after,
        checkpoints=raw.checkpoints,
        gang=raw.gang,
        same_rack=raw.same_rack,
        label=raw.label,
        data_rack=raw.data_rack,
        max_per_instance=raw.max_per_instance,
        copies=raw.copies,
        lasting=raw.lasting,
        image=raw.image,
        target_ms=raw.target_ms,
        fills=raw.fills,
        may_be_away=raw.may_be_away,
    )
