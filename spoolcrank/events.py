"""Define the typed events that the components of a daemon exchange."""

from circuits import Event


class log_read(Event):
    """Records of the log arrived: `(entries: list[Entry], asked_at: float, at_end: bool)`."""


class log_failed(Event):
    """The log did not answer: `()`."""


class config_read(Event):
    """Configuration records arrived.

    `(records: list[ConfigEntry], asked_at: float, at_end: bool)`
    """


class snapshot_read(Event):
    """A snapshot arrived: `(snapshot: Snapshot,)`."""


class fleet_listed(Event):
    """The platform's instance list arrived: `(instances: list[Instance],)`."""


class fleet_list_read(Event):
    """The platform's instance list was read, the same as before or new: `(asked_at: float,)`."""


class fleet_list_failed(Event):
    """The platform's instance list could not be read: `()`."""


class peer_heard(Event):
    """A message from a peer arrived: `(frame: Frame,)`."""


class peer_lost(Event):
    """The connection to a peer broke: `(peer: InstanceId,)`."""


class worker_reported(Event):
    """A worker carried out a command: `(server: InstanceId, report: Report, sent_at: float)`."""


class worker_refused(Event):
    """A worker refused a command: `(server: InstanceId, refused: Refused)`."""


class worker_silent(Event):
    """A worker did not answer a command: `(server: InstanceId,)`."""
