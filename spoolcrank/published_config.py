"""Keep the configuration in force, and what became of each attempt to change it."""

from typing import NamedTuple

from spoolcrank import policy
from spoolcrank.ids import CommandId, ConfigVersion
from spoolcrank.log_link import ConfigEntry


class Change(NamedTuple):
    """One attempt to change the configuration and what came of it."""

    version: int
    command: CommandId
    by: str
    accepted: bool
    detail: str


class PublishedConfig:
    """The configuration in force and those before it."""

    def __init__(self) -> None:
        self.version = ConfigVersion(0)
        self.toml = ""
        self.history: list[Change] = []

    def offer(self, entry: ConfigEntry) -> bool:
        """Take a record of the config stream; False when it lost or is not newer."""
        if entry.version <= self.version:
            return False
        record = entry.record
        stale = record.if_version is not None and record.if_version != self.version
        valid = not stale and policy.is_valid(record.toml)
        detail = "in force"
        if stale:
            beaten_by = self.history[-1].command if self.history else "an earlier change"
            detail = f"made from version {record.if_version}, beaten by {beaten_by}"
            detail += f", version {self.version}"
        elif not valid:
            detail = "does not pass the check"
        self.history.append(
            Change(entry.version, record.command, record.by or "operator", valid, detail)
        )
        if valid:
            self.version = ConfigVersion(entry.version)
            self.toml = record.toml
        return valid

    def adopt(self, version: int, toml: str) -> bool:
        """Take a configuration that a peer or a snapshot holds, if it is newer."""
        if version <= self.version:
            return False
        self.version = ConfigVersion(version)
        self.toml = toml
        return True
