"""Parse the operators' command language.

A syntax error names the unexpected word and suggests the closest keyword.
"""

import difflib
from functools import lru_cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from returns.result import Failure, Result, Success

from spoolcrank.errors import ErrorKind, Refusal

KEYWORDS = (
    *("show", "why", "explain", "cancel", "drain", "undrain", "declare-lost", "set", "config"),
    *("pending", "running", "refused", "workers", "instances", "jobs", "history", "diff"),
    *("where", "preview", "if-version"),
    *("team", "zone", "reason", "class", "name", "state", "instance", "job", "urgency", "service"),
)
_MAX_COMMAND_CHARS = 4000


class Filter(NamedTuple):
    """A condition of a `where` clause; a value that ends in `*` matches as a prefix."""

    field: str
    value: str


def matches(row: dict[str, Any], filters: tuple[Filter, ...]) -> bool:
    """Return whether a row meets every condition; a missing field counts as empty text."""
    return all(
        _matches_value(str(row.get(condition.field, "")), condition.value) for condition in filters
    )


def _matches_value(value: str, pattern: str) -> bool:
    if pattern.endswith("*"):
        return value.startswith(pattern[:-1])
    return value == pattern


class Show(NamedTuple):
    """List the rows of `what`, such as jobs or workers, that meet all filters."""

    what: str
    filters: tuple[Filter, ...] = ()


class Why(NamedTuple):
    """Explain a task, a job or a request."""

    name: str


class Cancel(NamedTuple):
    """Cancel jobs by id or by filter; with `preview`, only list them."""

    jobs: tuple[str, ...]
    filters: tuple[Filter, ...]
    preview: bool


class DrainCommand(NamedTuple):
    """Take an instance or a rack out of use, or return it to use."""

    target: str
    on: bool


class Lost(NamedTuple):
    """Declare that a server is permanently lost."""

    server: str


class Set(NamedTuple):
    """Change one setting of the published configuration."""

    key: str
    value: str
    if_version: int | None


class ConfigCommand(NamedTuple):
    """Show the configuration's history, or the settings that differ from the defaults."""

    what: str


Parsed = Show | Why | Cancel | DrainCommand | Lost | Set | ConfigCommand


class _CommandBuilder(Transformer[Token, Parsed]):
    """Transformer of a parse tree into a command."""

    def start(self, items: list[Parsed]) -> Parsed:
        return items[0]

    def filter(self, items: list[Token]) -> Filter:
        return Filter(str(items[0]), str(items[1]))

    def where(self, items: list[Filter]) -> tuple[Filter, ...]:
        return tuple(items)

    def names(self, items: list[Token]) -> list[str]:
        return [str(item) for item in items]

    def show(self, items: list[object]) -> Show:
        filters = items[1] if len(items) > 1 and isinstance(items[1], tuple) else ()
        return Show(str(items[0]), filters)

    def why(self, items: list[Token]) -> Why:
        return Why(str(items[0]))

    explain = why

    def cancel(self, items: list[object]) -> Cancel:
        selection = items[0]
        preview = len(items) > 1 and items[1] is not None
        if isinstance(selection, tuple):
            return Cancel((), selection, preview)
        names = tuple(selection) if isinstance(selection, list) else ()
        return Cancel(names, (), preview)

    def drain(self, items: list[Token]) -> DrainCommand:
        return DrainCommand(str(items[0]), True)

    def undrain(self, items: list[Token]) -> DrainCommand:
        return DrainCommand(str(items[0]), False)

    def lost(self, items: list[Token]) -> Lost:
        return Lost(str(items[0]))

    def set(self, items: list[Token]) -> Set:
        version = int(items[2]) if len(items) > 2 and items[2] is not None else None
        return Set(str(items[0]), str(items[1]), version)

    def config(self, items: list[Token]) -> ConfigCommand:
        return ConfigCommand(str(items[0]))


@lru_cache(maxsize=1)
def _parser() -> Lark:
    grammar = Path(__file__).with_name("command.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse(text: str) -> Result[Parsed, Refusal]:
    """Parse one command, or return a refusal that names the unexpected word."""
    if len(text) > _MAX_COMMAND_CHARS:
        return Failure(
            Refusal(
                ErrorKind.BAD_COMMAND, f"the command is longer than {_MAX_COMMAND_CHARS} characters"
            )
        )
    try:
        command: Parsed = _CommandBuilder().transform(_parser().parse(text))
        return Success(command)
    except UnexpectedInput as exc:
        return Failure(_syntax_refusal(text, exc))
    except LarkError as exc:
        return Failure(Refusal(ErrorKind.BAD_COMMAND, str(exc)))


def _syntax_refusal(text: str, exc: UnexpectedInput) -> Refusal:
    position = exc.pos_in_stream if exc.pos_in_stream is not None else len(text)
    if isinstance(exc, UnexpectedToken) and exc.token.type == "$END":
        position = len(text)
    start = max(text.rfind(" ", 0, position) + 1, 0)
    word = text[start:].split()[0] if text[start:].split() else ""
    if not word:
        return Refusal(ErrorKind.BAD_COMMAND, "the command is incomplete", "text")
    suggestions = difflib.get_close_matches(word.partition("=")[0], KEYWORDS, n=1)
    hint = f"; did you mean {suggestions[0]!r}?" if suggestions else ""
    kind = "unexpected" if isinstance(exc, UnexpectedCharacters | UnexpectedToken) else "bad"
    detail = f"{kind} word {word!r} at character {start + 1}{hint}"
    return Refusal(ErrorKind.BAD_COMMAND, detail, word)
