"""Use the compiled modules in place of their sources, where the build made them.

The decision is made once, before any other module of the daemon is imported. All compiled modules
are imported at that time, so that a fault in one of them ends in plain Python and not in a mixture.
"""

import os
import sys
from collections.abc import Iterable, Mapping
from enum import Enum
from importlib import import_module
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

from spoolcrank.compiled_modules import COMPILED, COMPILED_FOLDER, source_digest, stored_digest
from spoolcrank.errors import ErrorKind, Refusal, SettingsError

COMPILED_VARIABLE = "SPOOLCRANK_COMPILED"
_PACKAGE = "spoolcrank"
_ROOT = Path(__file__).resolve().parent.parent


class CompiledSetting(Enum):
    """The values of SPOOLCRANK_COMPILED.

    Attributes:
        AUTO: use the compiled modules if they exist, are of this source and can be imported.
        OFF: run plain Python.
    """

    AUTO = "auto"
    OFF = "off"


class DecisionCode(NamedTuple):
    """Which form of the decision modules runs.

    Attributes:
        compiled: whether the compiled modules run; else plain Python.
        why: why plain Python runs; empty for compiled modules.
    """

    compiled: bool
    why: str = ""

    @property
    def form(self) -> str:
        """Return the word for the form that runs, as the start line has it."""
        return "compiled" if self.compiled else "plain"


FULL_COMMAND_LINE = DecisionCode(False, "the full command line was imported before")
"""What runs if the daemon is started by other arguments than those of `serve_args`."""


class _Unusable(Exception):
    """Raised if a compiled module is missing."""


def read_setting(environment: Mapping[str, str] = os.environ) -> CompiledSetting:
    """Return the value of SPOOLCRANK_COMPILED; `auto` if it is not set.

    Raises:
        SettingsError: the value is unknown.
    """
    text = environment.get(COMPILED_VARIABLE, CompiledSetting.AUTO.value)
    values = {setting.value: setting for setting in CompiledSetting}
    if text not in values:
        detail = f"{COMPILED_VARIABLE}: {text!r} is not one of {', '.join(values)}"
        raise SettingsError(Refusal(ErrorKind.BAD_SETTINGS, detail))
    return values[text]


def use_compiled(setting: CompiledSetting, root: Path = _ROOT) -> DecisionCode:
    """Import the compiled modules below `root` if they can be used; return which form runs."""
    if setting is CompiledSetting.OFF:
        return DecisionCode(False, f"{COMPILED_VARIABLE} is off")
    folder = root / COMPILED_FOLDER
    built_from = stored_digest(folder)
    if not built_from:
        return DecisionCode(False, f"{COMPILED_FOLDER} holds no compiled modules")
    if built_from != source_digest(root):
        return DecisionCode(False, f"{COMPILED_FOLDER} was compiled from other sources")
    return import_compiled(folder)


def import_compiled(folder: Path, modules: Iterable[str] = COMPILED) -> DecisionCode:
    """Import modules from `folder`; if one fails, no module of the package stays imported by it."""
    loaded_before = set(sys.modules)
    paths: list[list[str]] = [sys.modules[_PACKAGE].__path__, sys.path]  # type: ignore[list-item]
    entries = [str(folder / _PACKAGE), str(folder)]
    for path, entry in zip(paths, entries, strict=True):
        path.insert(0, entry)
    try:
        for name in modules:
            _check_origin(import_module(f"{_PACKAGE}.{name}"), entries[0])
    except Exception as exc:
        _forget(set(sys.modules) - loaded_before)
        return DecisionCode(False, f"import failed: {type(exc).__name__}: {exc}")
    finally:
        for path, entry in zip(paths, entries, strict=True):
            path.remove(entry)
    return DecisionCode(True)


def _check_origin(module: ModuleType, folder: str) -> None:
    if not (module.__file__ or "").startswith(folder + os.sep):
        raise _Unusable(f"{module.__name__} is not compiled")


def _forget(names: set[str]) -> None:
    """Remove modules of the package, so that they are imported again, from their sources."""
    for name in names:
        parent, _, child = name.rpartition(".")
        if parent.split(".")[0] != _PACKAGE:
            continue
        sys.modules.pop(name, None)
        if parent in sys.modules:
            vars(sys.modules[parent]).pop(child, None)
