"""Compile the decision modules: `python3 -B -m spoolcrank.compiled_build`, run at the root.

All that it writes is below `target/`. It does nothing if the compiled modules there are of this
source. Without a compiler, or if a step fails, it says so and ends with success: plain Python runs
then. The modules of an older source are removed first in any case.
"""

import os
import shlex
import shutil
import signal
import subprocess
import sys
import sysconfig
from collections.abc import Sequence
from pathlib import Path

from spoolcrank.compiled_modules import (
    BUILD_REQUIREMENTS,
    COMPILED,
    COMPILED_FOLDER,
    DIGEST_FILE,
    source_digest,
    stored_digest,
)

TOOLS_FOLDER = Path("target/build-tools")
"""Folder of the packages that compile; it is not on the path of the running daemon."""

RUNTIME_FOLDER = Path("target/deps")
"""Folder of the packages of the running daemon, whose types the compiler reads."""

WORK_FOLDER = Path("target/native-build")
"""Folder for generated C files and objects."""

STEP_TIMEOUT_S = 360.0
"""Time-out for the installation of the tools and for the compilation, seconds each. The platform
ends a build after 900 s."""

OPTIMIZATION_LEVEL = "1"
"""Optimization level of the C compiler; level 2 takes longer to build and showed no gain."""


class BuildFailure(Exception):
    """Raised if the modules cannot be compiled here."""


def build(root: Path) -> str:
    """Compile into `target/native` unless that is up to date; return what was done."""
    folder, digest = root / COMPILED_FOLDER, source_digest(root)
    if stored_digest(folder) == digest:
        return "compiled modules are up to date"
    shutil.rmtree(folder, ignore_errors=True)
    try:
        check_compiler()
        tools = _install_tools(root)
        path = (tools, root / RUNTIME_FOLDER)
        compile_modules(root, folder, root / WORK_FOLDER, COMPILED, OPTIMIZATION_LEVEL, path)
        # Written last: a folder without it is not used.
        (folder / DIGEST_FILE).write_text(digest, encoding="utf-8")
    except (BuildFailure, OSError) as exc:
        shutil.rmtree(folder, ignore_errors=True)
        return f"not compiled, plain Python will run: {exc}"
    finally:
        shutil.rmtree(root / WORK_FOLDER, ignore_errors=True)
    return f"compiled {len(COMPILED)} modules into {COMPILED_FOLDER}"


def check_compiler() -> None:
    """Raise BuildFailure if there is no C compiler or no header of the interpreter."""
    command = shlex.split(os.environ.get("CC") or sysconfig.get_config_var("CC") or "cc")
    if not command or shutil.which(command[0]) is None:
        raise BuildFailure(f"no C compiler {' '.join(command)!r}")
    header = Path(sysconfig.get_path("include"), "Python.h")
    if not header.exists():
        raise BuildFailure(f"no {header}")


def _install_tools(root: Path) -> Path:
    tools, requirements = root / TOOLS_FOLDER, root / BUILD_REQUIREMENTS
    installed = tools / BUILD_REQUIREMENTS.name
    if installed.exists() and installed.read_bytes() == requirements.read_bytes():
        return tools
    shutil.rmtree(tools, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--target", str(tools)]
    _run([*pip, "-r", str(requirements)], root, {}, "the installation of the build tools")
    shutil.copyfile(requirements, installed)
    return tools


def compile_modules(
    root: Path,
    folder: Path,
    work: Path,
    modules: Sequence[str],
    level: str,
    path: Sequence[Path] = (),
) -> None:
    """Compile modules of the package below `root` into `folder`.

    Args:
        root: root of the repository.
        folder: folder for the compiled modules.
        work: folder for generated C files and objects.
        modules: names below the package.
        level: level of optimization of the C compiler.
        path: folders of mypy, setuptools and the packages whose types are read; none if the
            interpreter finds them by itself.

    Raises:
        BuildFailure: mypy or the C compiler failed or took too long.
    """
    sources = [str(Path("spoolcrank", *name.split(".")).with_suffix(".py")) for name in modules]
    environment = {"PYTHONPATH": os.pathsep.join(map(str, (*path, root)))}
    arguments = [str(folder), str(work), level, *sources]
    command = [sys.executable, "-B", "-m", "spoolcrank.compile_c", *arguments]
    _run(command, root, environment, "the compilation")


def _run(command: list[str], cwd: Path, variables: dict[str, str], what: str) -> None:
    """Run a command in a process group of its own, which is killed after `STEP_TIMEOUT_S`."""
    environment = {**os.environ, **variables}
    with subprocess.Popen(
        command,
        cwd=cwd,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as process:
        try:
            output, _ = process.communicate(timeout=STEP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGKILL)
            raise BuildFailure(f"{what} took more than {STEP_TIMEOUT_S:.0f} s") from None
    if process.returncode != 0:
        raise BuildFailure(f"{what} failed: {output[-2000:]}")


def main() -> None:
    """Build at the current folder and print what was done."""
    sys.stdout.write(f"spoolcrank: {build(Path.cwd())}\n")


if __name__ == "__main__":
    main()
