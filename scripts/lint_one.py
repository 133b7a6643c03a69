#!/usr/bin/env python3
"""Runs clang-tidy on one source, unless the same text passed before.

    lint_one.py BUILD SOURCE

What was checked is known by the hash of the preprocessed text with its comments, the
checks' configuration and clang-tidy's version; hashes of sources that passed are kept
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


def preprocessed(build, source):
    """The text that the compiler sees, without the folders that it lies in."""
    entry = next(one for one in json.loads((build / "compile_commands.json").read_text()) if one["file"] == str(source))
    command = shlex.split(entry["command"])
    # What stands before the compiler is a launcher; "-o" and "-c" give way to "-E".
    while not pathlib.Path(command[0]).name.endswith(("c++", "g++", "clang++")):
        command.pop(0)
    at = command.index("-o")
    del command[at:at + 2]
    command.remove("-c")
    text = subprocess.run([*command, "-E", "-C"], cwd=entry["directory"], stdout=subprocess.PIPE, check=True).stdout
    return text.replace(str(ROOT).encode(), b"")


def main():
    build, source = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    digest = hashlib.sha256(preprocessed(build, source))
    digest.update((ROOT / ".clang-tidy").read_bytes())
    digest.update(subprocess.run(["clang-tidy", "--version"], stdout=subprocess.PIPE, check=True).stdout)
    passed = CACHE / digest.hexdigest()
    if passed.exists():
        return 0
    done = subprocess.run(["clang-tidy", "--quiet", "--extra-arg=-Wno-unknown-warning-option", "-p", str(build), str(source)], check=False)
    if done.returncode == 0:
        CACHE.mkdir(parents=True, exist_ok=True)
        passed.touch()
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
