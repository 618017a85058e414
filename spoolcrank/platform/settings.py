"""Decode the settings file that the platform provides for each process."""

from pathlib import Path
from typing import NamedTuple

import msgspec

from spoolcrank.errors import ErrorKind, Refusal, SettingsError
from spoolcrank.ids import Address, AvailabilityZone, InstanceId

FILE_VARIABLE = "SPOOLCRANK_NODE_FILE"


class _Listen(msgspec.Struct):
    front: Address
    ready: Address


class _Store(msgspec.Struct):
    address: Address


class _Bounds(msgspec.Struct):
    grace_s: float = msgspec.field(name="graceS", default=6.0)
    # The longest lease that runners accept, not a delay as the platform's field name suggests.
    longest_lease_ms: int = msgspec.field(name="holdMaxMs", default=10_000)


class _Limits(msgspec.Struct):
    # A share of one core that is `cores` times as fast as the usual one, not of several cores.
    share: float = msgspec.field(name="cpuShare", default=1.0)
    cores: float = 1.0


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # The region of each availability zone of the deployment.
    zones: dict[str, msgspec.Raw] = {}
    internal_ports: tuple[int, int] | None = msgspec.field(name="internalPorts", default=None)


class PlatformSettings(NamedTuple):
    """The settings of one instance.

    Attributes:
        instance_id: name of the instance.
        ip: IP address of the instance.
        availability_zone: availability zone in which the instance runs.
        clients: address on which it serves clients.
        ready: address on which it answers the load balancer's readiness checks.
        store: address of the store.
        grace_s: time from the stop signal until the platform kills the process, seconds.
        processors: processor share of the instance, in cores of the fleet's usual speed.
        longest_lease_ms: runners shorten longer leases to this, milliseconds.
        zones: number of availability zones of the deployment; 0 if the file does not say it.
        internal_ports: first and last port that the instances use among themselves; None if the
            file gives none.
    """

    instance_id: InstanceId
    ip: str
    availability_zone: AvailabilityZone
    clients: Address
    ready: Address
    store: Address
    grace_s: float
    processors: float = 1.0
    longest_lease_ms: int = 10_000
    zones: int = 0
    internal_ports: tuple[int, int] | None = None


_decode = msgspec.json.Decoder(_File).decode


def read_settings(path: str) -> PlatformSettings:
    """Read the settings file; raise SettingsError with the invalid or missing field."""
    try:
        raw = _decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        raise SettingsError(Refusal(ErrorKind.BAD_SETTINGS, f"{path}: {exc}")) from exc
    return PlatformSettings(
        InstanceId(raw.node),
        raw.ip,
        AvailabilityZone(raw.zone),
        raw.listen.front,
        raw.listen.ready,
        raw.platform.address,
        raw.bounds.grace_s,
        raw.limits.share * raw.limits.cores,
        raw.bounds.longest_lease_ms,
        len(raw.zones),
        raw.internal_ports,
    )
