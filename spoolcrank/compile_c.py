"""Translate modules to C by mypyc and compile them; a process that the build starts.

Arguments: the folder for the compiled modules, a folder for work files, the C compiler's level of
optimization, and the sources. It is a process of its own, because mypyc ends the process on an
error, and because its packages are not on the build's path.
"""

import os
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from mypyc.build import mypycify
from setuptools import Distribution
from setuptools.command.build_ext import build_ext

MAX_COMPILERS = 4
"""Most C compilers that run at the same time; each takes up to 0.5 GB."""


SAME_FLOATS = "-ffp-contract=off"
"""Option that keeps each float operation apart; GCC fuses multiply and add on some processors."""


class ParallelBuild(build_ext):
    """Compile the C files of one extension side by side; setuptools does so for extensions only."""

    def build_extensions(self) -> None:
        """Compile and link."""
        compiler: Any = self.compiler
        compile_all = compiler.compile
        jobs = min(MAX_COMPILERS, len(os.sched_getaffinity(0)))

        def compile_side_by_side(sources: list[str], **options: Any) -> list[str]:
            with ThreadPoolExecutor(jobs) as pool:
                objects = pool.map(lambda source: compile_all([source], **options), sources)
                return [path for paths in objects for path in paths]

        compiler.compile = compile_side_by_side
        super().build_extensions()


def main(folder: str, work: str, level: str, *sources: str) -> None:
    """Compile sources into a folder."""
    options = ["--config-file", "pyproject.toml", "--cache-dir", os.path.join(work, "cache")]
    extensions = mypycify(
        [*options, *sources], opt_level=level, multi_file=True, target_dir=os.path.join(work, "c")
    )
    for extension in extensions:
        extension.extra_compile_args.append(SAME_FLOATS)
    command = ParallelBuild(Distribution({"name": "spoolcrank", "ext_modules": extensions}))
    command.build_lib, command.build_temp = folder, os.path.join(work, "objects")
    command.ensure_finalized()
    command.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
