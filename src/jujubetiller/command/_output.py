"""Output of problems, and reading of files named on the command line."""

import sys

import result

from jujubetiller import codes

OK_STATUS = 0
FAILED_STATUS = 1
USAGE_STATUS = 2

# Far above any settings file or ticket; the platform holds values up to 1 MB.
MAX_FILE_BYTES = 4_000_000


def report(problem: codes.Problem) -> int:
    """Print ``problem`` with its number and return the exit status for it."""
    print(problem, file=sys.stderr)
    wrong_usage = problem.code is codes.ResultCode.BAD_COMMAND
    return USAGE_STATUS if wrong_usage else FAILED_STATUS


def read_file(name: str) -> result.Result[bytes, codes.Problem]:
    """Return the content of the file ``name``; ``-`` is standard input."""
    try:
        if name == "-":
            content = sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        else:
            with open(name, "rb") as file:
                content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return _reject(f"{name!r} cannot be read: {error.strerror}")
    if len(content) > MAX_FILE_BYTES:
        return _reject(f"allowed are files of at most {MAX_FILE_BYTES} bytes")
    return result.Ok(content)


def _reject(message: str) -> result.Err[codes.Problem]:
    return result.Err(codes.Problem(codes.ResultCode.BAD_COMMAND, "file", message))
