#!/usr/bin/env python3
"""Lints one source file with clang-tidy, unless the very same input was found clean before.

Usage: lint-file.py BUILD FILE, in the root of the work tree. What was clean is remembered outside of
the work tree by a key over all that clang-tidy reads: its version, its configuration, the compile
command, and the content of the source and of every file that it includes.
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

HOME_CACHE = os.environ.get('XDG_CACHE_HOME') or os.path.expanduser('~/.cache')
CACHE = pathlib.Path(os.environ.get('APPLEHATCH_LINT_CACHE') or HOME_CACHE + '/applehatch-lint')


def compile_command(build, source):
    """Returns folder and arguments of the file's compiler call; none if it is not built."""
    for entry in json.loads((build / 'compile_commands.json').read_text()):
        if pathlib.Path(entry['file']).resolve() == source:
            return entry['directory'], shlex.split(entry['command'])
    return None


def dependencies(folder, arguments):
    """Returns all files that the compiler reads for this call."""
    call = [word for word in arguments if os.path.basename(word) != 'ccache']
    call[call.index('-o') + 1] = '/dev/null'
    rule = subprocess.run(call + ['-M', '-MF', '-'], cwd=folder, capture_output=True, text=True,
                          check=True).stdout
    names = shlex.split(rule.replace('\\\n', ' ').split(':', 1)[1])
    return sorted({(pathlib.Path(folder) / name).resolve() for name in names})


def key_of(root, build, source):
    """Returns the key of the input; none if it cannot be told."""
    command = compile_command(build, source)
    if command is None:
        return None
    folder, arguments = command
    digest = hashlib.sha256()
    version = subprocess.run(['clang-tidy', '--version'], capture_output=True, check=True).stdout
    digest.update(version + (root / '.clang-tidy').read_bytes())
    digest.update(' '.join(arguments).replace(str(root), '.').encode())
    for path in dependencies(folder, arguments):
        digest.update(str(path).replace(str(root), '.').encode() + b'\0')
        digest.update(hashlib.sha256(path.read_bytes()).digest())
    return digest.hexdigest()


def main():
    build, name = sys.argv[1:]
    root = pathlib.Path.cwd().resolve()
    try:
        key = key_of(root, (root / build).resolve(), (root / name).resolve())
    except (OSError, ValueError, subprocess.CalledProcessError) as error:
        print(f'{name}: linted without its key: {error}', file=sys.stderr)
        key = None
    if key is not None and (CACHE / key).exists():
        return 0
    lint = subprocess.run(['clang-tidy', '-p', build, '--quiet', name], stdout=subprocess.PIPE,
                          stderr=subprocess.DEVNULL, text=True, check=False)
    sys.stdout.write(lint.stdout)
    if lint.returncode == 0 and not lint.stdout and key is not None:
        CACHE.mkdir(parents=True, exist_ok=True)
        (CACHE / key).touch()
    return lint.returncode


sys.exit(main())
