"""Define the platform's instances as read from its instance list or from a fleet file."""

import tomllib
from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from spoolcrank.ids import Address, AvailabilityZone, InstanceId, Rack, ServiceName
from spoolcrank.resources import Resources


class Role(Enum):
    """The role of an instance."""

    ENTRY = "entry"
    BACKEND = "backend"


class InstanceState(Enum):
    """Whether the platform is about to remove an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(BaseModel):
    """An entry of the platform's instance list."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    id: InstanceId = Field(min_length=1)
    role: Role
    availability_zone: AvailabilityZone
    rack: Rack = Rack("")
    address: Address
    peer_address: Address = Address("")
    state: InstanceState = InstanceState.LIVE
    processors: float = Field(default=0, ge=0)
    memory_mb: float = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)
    service: ServiceName = ServiceName("")
    slots: int = Field(default=0, ge=0)
    kind: str = "standard"

    @property
    def capacity(self) -> Resources:
        """Return the total capacity of the instance."""
        return Resources(self.processors, self.memory_mb, self.accelerators)

    @property
    def leaving(self) -> bool:
        """Return whether the platform is about to remove the instance."""
        return self.state is InstanceState.LEAVING


_LIST: TypeAdapter[list[Instance]] = TypeAdapter(list[Instance])


def parse_list(raw: bytes) -> list[Instance]:
    """Parse the instances of a JSON list.

    Raises:
        pydantic.ValidationError: if the list is invalid.
    """
    return _LIST.validate_json(raw)


def parse_file(text: str) -> list[Instance]:
    """Parse the instances of a fleet file in TOML.

    Raises:
        pydantic.ValidationError: if an instance is invalid.
        tomllib.TOMLDecodeError: if the text is not TOML.
    """
    return _LIST.validate_python(tomllib.loads(text).get("instances", []))


def dump_list(instances: list[Instance]) -> list[dict[str, Any]]:
    """Return the instances as plain JSON values."""
    return [instance.model_dump(mode="json") for instance in instances]
