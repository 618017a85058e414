"""Validate the settings of a daemon at its start and report all invalid ones together."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from spoolcrank._runtime import address_of_url
from spoolcrank.errors import ErrorKind, Refusal, SettingsError
from spoolcrank.ids import Address, AvailabilityZone, InstanceId

_MAX_PORT = 65535


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError("the port must be a number from 0 to 65535")
    return value


def _check_url(value: str) -> str:
    return _check_address(address_of_url(value))


ListenAddress = Annotated[Address, AfterValidator(_check_address)]
Url = Annotated[Address, AfterValidator(_check_url)]


class EntrySettings(BaseModel):
    """The settings that an entry instance is started with."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: InstanceId = Field(min_length=1, max_length=100)
    availability_zone: AvailabilityZone = Field(min_length=1, max_length=100)
    listen: ListenAddress
    peer_listen: ListenAddress
    log: Url
    instances: Url
    statsd: ListenAddress | None = None
    log_file: str = ""
    trace_file: str = ""
    linger_s: float = Field(default=2.0, ge=0, le=300)


def check_entry(**values: object) -> EntrySettings:
    """Return the validated settings.

    Raises SettingsError, which names every invalid setting.
    """
    try:
        return EntrySettings.model_validate(values)
    except ValidationError as exc:
        problems = [
            f"--{str(err['loc'][0]).replace('_', '-')}: {err['msg']}" for err in exc.errors()
        ]
        raise SettingsError(Refusal(ErrorKind.BAD_SETTINGS, "; ".join(problems))) from exc
