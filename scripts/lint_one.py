#!/usr/bin/env python3
"""Runs clang-tidy on one source, unless the same preprocessed text has passed before.

    lint_one.py BUILD SOURCE

The cache key is a hash of the preprocessed text with its comments, .clang-tidy and the
version of clang-tidy. The keys of sources that passed are kept
in $LOVAGERAIL_LINT_CACHE (default: ~/.cache/lovagerail-lint)."""

import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
CACHE = pathlib.Path(os.environ.get("LOVAGERAIL_LINT_CACHE", pathlib.Path.home() / ".cache" / "lovagerail-lint"))


def preprocessed_text(build, source):
    """The preprocessed source, without the path of the checkout, so that all checkouts share results."""
    entry = next(candidate for candidate in json.loads((build / "compile_commands.json").read_text()) if candidate["file"] == str(source))
    command = shlex.split(entry["command"])
    # Drops a launcher such as ccache in front of the compiler, and replaces "-o" and "-c" by "-E".
    while not pathlib.Path(command[0]).name.endswith(("c++", "g++", "clang++")):
        command.pop(0)
    output_flag = command.index("-o")
    del command[output_flag:output_flag + 2]
    command.remove("-c")
    text = subprocess.run([*command, "-E", "-C"], cwd=entry["directory"], stdout=subprocess.PIPE, check=True).stdout
    return text.replace(str(ROOT).encode(), b"")


def main():
    build, source = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    digest = hashlib.sha256(preprocessed_text(build, source))
    digest.update((ROOT / ".clang-tidy").read_bytes())
    digest.update(subprocess.run(["clang-tidy", "--version"], stdout=subprocess.PIPE, check=True).stdout)
    pass_marker = CACHE / digest.hexdigest()
    if pass_marker.exists():
        return 0
    result = subprocess.run(["clang-tidy", "--quiet", "--extra-arg=-Wno-unknown-warning-option", "-p", str(build), str(source)], check=False)
    if result.returncode == 0:
        CACHE.mkdir(parents=True, exist_ok=True)
        pass_marker.touch()
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
