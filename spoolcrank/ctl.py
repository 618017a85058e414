"""Send operators' commands to an entry instance and show the answers as tables."""

import json
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

from spoolcrank._runtime import address_of_url, split_address
from spoolcrank.errors import ErrorKind, Refusal, SpoolcrankError
from spoolcrank.ids import unique

REQUEST_TIMEOUT_S = 15.0
_SUCCESS_STATUSES = range(200, 300)


class Response(NamedTuple):
    """The answer of an entry instance."""

    status: int
    body: dict[str, Any]

    @property
    def ok(self) -> bool:
        """Return whether the status, from 200 to 299, says that the command succeeded."""
        return self.status in _SUCCESS_STATUSES


def send(url: str, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
    """Send one request to an entry instance.

    Raises SpoolcrankError if the instance does not answer with JSON.
    """
    host, port = split_address(address_of_url(url))
    conn = HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        conn.request(method, path, body, headers)
        res = conn.getresponse()
        return Response(res.status, json.loads(res.read() or b"{}"))
    except (OSError, HTTPException, ValueError) as exc:
        detail = f"{url} does not answer: {exc}"
        raise SpoolcrankError(Refusal(ErrorKind.PEER_LOST, detail)) from exc
    finally:
        conn.close()


def command(url: str, words: list[str], command_id: str, by: str) -> Response:
    """Send one command, given as the words of the command line."""
    match words:
        case ["submit", path]:
            return submit(url, path, command_id)
        case ["config", "check" | "publish" as what, path]:
            return config(url, what, path, command_id, by)
    body = {"text": " ".join(words), "id": command_id or unique("cmd"), "by": by}
    return send(url, "POST", "/commands", json.dumps(body).encode(), {})


def submit(url: str, path: str, key: str) -> Response:
    """Submit the job that a TOML or JSON file describes."""
    text = Path(path).read_text(encoding="utf-8")
    job = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    headers = {"Idempotency-Key": key} if key else {}
    return send(url, "POST", "/jobs", json.dumps(job).encode(), headers)


def config(url: str, what: str, path: str, command_id: str, by: str) -> Response:
    """Check a configuration file, or publish it as the successor of the version in force."""
    text = Path(path).read_bytes()
    if what == "check":
        return send(url, "POST", "/config/check", text, {})
    query = f"?id={command_id or unique('cmd')}&by={by}"
    return send(url, "POST", f"/config{query}", text, {})


def render(response: Response, console: Console) -> None:
    """Print an answer: rows as a table, and facts below their sentence."""
    body = response.body
    if "rows" in body:
        _render_rows(body["rows"], console)
    if "sentence" in body:
        console.print(body["sentence"], style="bold", highlight=False)
        for name, value in body.get("facts", {}).items():
            console.print(f"  {name}: {value}", highlight=False)
    for name in ("detail", "id", "version"):
        if name in body:
            console.print(f"{name}: {body[name]}", highlight=False)
    if body.get("not_asked"):
        console.print(f"not asked: zones {', '.join(body['not_asked'])}", style="yellow")
    if "log_read_s_ago" in body:
        console.print(_describe_age(body["log_read_s_ago"]), style="yellow")


def _describe_age(age_s: float | None) -> str:
    if age_s is None:
        return "may be old: the instance has not read the log yet"
    return f"may be old: the instance read the log {age_s:g} s ago"


def _render_rows(rows: list[dict[str, Any]], console: Console) -> None:
    if not rows:
        console.print("nothing")
        return
    columns = list(rows[0])
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    console.print(table)
