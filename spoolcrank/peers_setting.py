"""Read the setting that says whether an instance forwards requests to its peers."""

from collections.abc import Mapping
from enum import Enum

from spoolcrank.errors import ErrorKind, Refusal, SettingsError
from spoolcrank.serve_args import PEERS_FLAG

PEERS_VARIABLE = "SPOOLCRANK_PEERS"

MIN_ZONES = 4
"""Number of availability zones from which requests are forwarded without being set. Smaller
deployments stay as they are."""

_MAX_PORT = 65535


class PeersSetting(Enum):
    """Whether requests are forwarded; AUTO: if there are enough zones and an internal port."""

    ON = "on"
    OFF = "off"
    AUTO = "auto"


def peers_setting(flag: str, environment: Mapping[str, str]) -> PeersSetting:
    """Return the setting of the command line, or else of the environment.

    Raises:
        SettingsError: the value is unknown.
    """
    name, value = PEERS_FLAG, flag
    if not flag:
        name, value = PEERS_VARIABLE, environment.get(PEERS_VARIABLE, "") or PeersSetting.AUTO.value
    try:
        return PeersSetting(value)
    except ValueError:
        values = ", ".join(setting.value for setting in PeersSetting)
        raise _refused(f"{name}: {value!r} is not one of {values}") from None


def peer_port(
    setting: PeersSetting, zones: int, ports: tuple[int, int] | None, allowed: bool
) -> int | None:
    """Return the port on which peers are served; None if requests are not forwarded.

    Args:
        setting: what was set.
        zones: number of availability zones.
        ports: first and last internal port; None if there are none.
        allowed: whether the mechanism is not switched off.

    Raises:
        SettingsError: forwarding is set to `on` and there is no internal port.
    """
    has_port = ports is not None and 0 < ports[0] <= ports[1] <= _MAX_PORT
    if setting is PeersSetting.ON and not has_port:
        values = ", ".join(each.value for each in PeersSetting)
        raise _refused(
            f"{PEERS_FLAG} ({PEERS_VARIABLE}): 'on' of {values} needs an internal port, and the"
            f" settings file gives {'none' if ports is None else list(ports)}"
        )
    wanted = setting is PeersSetting.ON or (setting is PeersSetting.AUTO and zones >= MIN_ZONES)
    return ports[0] if ports is not None and has_port and wanted and allowed else None


def _refused(detail: str) -> SettingsError:
    return SettingsError(Refusal(ErrorKind.BAD_SETTINGS, detail))
