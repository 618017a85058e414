"""An unreadable configuration leaves the whole previous configuration in force."""

import json
import time
from pathlib import Path

import pytest

from spoolcrank._runtime import Runtime
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.platform.daemon import PlatformDaemon
from spoolcrank.platform.settings import read_settings
from tests.test_platform import settings_text

ROUTE = {"name": "quotes", "host": "a.example", "pathPrefix": "/q/", "service": "pricing"}


def _daemon(folder: Path) -> PlatformDaemon:
    path = folder / "settings.json"
    here = "127.0.0.1:0"
    listen = {"front": here, "ready": here}
    path.write_text(settings_text(ip="127.0.0.1", listen=listen, platform={"address": here}))
    return PlatformDaemon(Runtime(), read_settings(str(path)), 0)


def _version(daemon: PlatformDaemon) -> int:
    return daemon._routes.version if daemon._routes is not None else 0


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"\xff\xfe",
        b"[]",
        json.dumps({"version": "8", "routes": [ROUTE]}).encode(),
        json.dumps({"version": 8, "routes": [{"name": "quotes"}]}).encode(),
        json.dumps({"version": 8, "routes": [ROUTE, ROUTE]}).encode(),
    ],
)
def test_an_unreadable_configuration_is_refused_and_the_last_one_stays(
    value: bytes, tmp_path: Path
) -> None:
    daemon = _daemon(tmp_path)
    first = json.dumps({"version": 7, "routes": [ROUTE]}).encode()
    daemon._on_operator_records([KeyedRecord("config", first, 1)])
    assert _version(daemon) == 7
    daemon._on_operator_records([KeyedRecord("config", value, 2)])
    assert _version(daemon) == 7
    newer = json.dumps({"version": 9, "routes": [ROUTE]}).encode()
    daemon._on_operator_records([KeyedRecord("config", newer, 3)])
    assert _version(daemon) == 9


@pytest.mark.parametrize(("age_s", "ready"), [(2.5, True), (3.5, False)])
def test_an_instance_with_an_old_configuration_gets_no_new_clients(
    age_s: float, ready: bool, tmp_path: Path
) -> None:
    """It refuses new jobs, though the store answers its reads of the jobs."""
    daemon = _daemon(tmp_path)
    first = json.dumps({"version": 7, "routes": [ROUTE]}).encode()
    daemon._on_operator_records([KeyedRecord("config", first, 1)])
    now = time.monotonic()
    daemon.follower.copy.loaded = True
    daemon.follower.copy.read_at = now
    daemon._configuration.copy.read_at = now - age_s
    assert daemon.ready is ready
