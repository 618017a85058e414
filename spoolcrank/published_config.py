"""Track the configuration in force and the outcome of each attempt to change it."""

from typing import NamedTuple

from spoolcrank import policy
from spoolcrank.ids import CommandId, ConfigVersion
from spoolcrank.log_link import ConfigEntry


class Change(NamedTuple):
    """One attempt to change the configuration, and its outcome."""

    version: int
    command: CommandId
    by: str
    accepted: bool
    detail: str


class PublishedConfig:
    """The configuration in force and the history of changes."""

    def __init__(self) -> None:
        self.version = ConfigVersion(0)
        self.toml = ""
        self.history: list[Change] = []

    def apply_entry(self, entry: ConfigEntry) -> bool:
        """Apply a record of the config stream; return whether its configuration is now in force.

        A record has no effect if its version is not newer. It is rejected if its `if_version` is
        not the version in force, or if the configuration is invalid.
        """
        if entry.version <= self.version:
            return False
        record = entry.record
        stale = record.if_version is not None and record.if_version != self.version
        valid = not stale and policy.is_valid(record.toml)
        detail = "in force"
        if stale:
            last_command = self.history[-1].command if self.history else "an earlier change"
            detail = f"made from version {record.if_version}, beaten by {last_command}"
            detail += f", version {self.version}"
        elif not valid:
            detail = "the configuration is invalid"
        self.history.append(
            Change(entry.version, record.command, record.by or "operator", valid, detail)
        )
        if valid:
            self.version = ConfigVersion(entry.version)
            self.toml = record.toml
        return valid

    def adopt(self, version: int, toml: str) -> bool:
        """Adopt the configuration of a peer or a snapshot if it is newer; return whether it was."""
        if version <= self.version:
            return False
        self.version = ConfigVersion(version)
        self.toml = toml
        return True
