"""Builds the library that makes system calls fail, from its source."""

from __future__ import annotations

import hashlib
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")


class CompilerError(Exception):
    """The library could not be built, so seeds with faults of system calls cannot be played."""


def build_library() -> Path:
    """Build the library unless this source has been built already, and return its path."""
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"soak-faults-{digest}.so"
    if not library.exists():
        with tempfile.TemporaryDirectory(dir=library.parent) as directory:
            built = Path(directory) / library.name
            command = ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(built), str(SOURCE), "-ldl"]
            try:
                subprocess.run(command, check=True, capture_output=True, text=True)
            except (OSError, subprocess.CalledProcessError) as error:
                raise CompilerError(f"{SOURCE.name} cannot be built with cc: {error}") from None
            built.replace(library)
    return library
