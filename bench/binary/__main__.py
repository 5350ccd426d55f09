"""``python -m bench.binary [compare]``: build the program, or compare candidates."""

import pathlib
import sys
import tempfile

from bench.binary import _content, _measure, _other_programs, _smoke, _zip_program

PROGRAM = _content.ROOT / "dist" / "jujubetiller"
# The interpreter outside of the virtual environment: packages that are missing from
# the program are not imported from the environment.
PYTHON = [str(pathlib.Path(sys.executable).resolve()), "-I"]
HEAD = (
    "| program | size MB | processes | first start ms | start ms | "
    "resident MB | written MB | left after exit MB |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def print_row(name: str, measurement: _measure.Measurement) -> None:
    """Print a row of the comparison table."""
    print(
        f"| {name} | {measurement.size_bytes / 1e6:.1f} | {measurement.processes} | "
        f"{measurement.first_start_ms:.0f} | {measurement.start_ms:.0f} | "
        f"{measurement.resident_kib / 1000:.1f} | "
        f"{measurement.written_bytes / 1e6:.1f} | "
        f"{measurement.left_bytes / 1e6:.1f} |",
        flush=True,
    )


def build() -> None:
    """Build the program, run the smoke test and print the measurements."""
    _zip_program.build(PROGRAM)
    with tempfile.TemporaryDirectory() as directory:
        settings = pathlib.Path(directory) / "settings.json"
        _smoke.write_settings(settings)
        command = [*PYTHON, str(PROGRAM)]
        _smoke.run_smoke_test(command, settings)
        measurement = _measure.measure(command, PROGRAM.stat().st_size, settings)
        if measurement.processes != 1:
            raise RuntimeError(f"the program runs as {measurement.processes} processes")
        print(HEAD)
        print_row("zip archive", measurement)


def compare() -> None:
    """Build every candidate, run the smoke test and print the measurements."""
    print(HEAD)
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        settings = directory / "settings.json"
        _smoke.write_settings(settings)
        zipped, shiv = directory / "zipped", directory / "shiv"
        one_file, one_directory = directory / "onefile", directory / "onedir"
        _zip_program.build(zipped)
        _other_programs.build_shiv(shiv)
        _other_programs.build_pyinstaller(one_file, one_file=True)
        _other_programs.build_pyinstaller(one_directory, one_file=False)
        candidates = {
            "zip archive": ([*PYTHON, str(zipped)], zipped),
            "shiv": ([*PYTHON, str(shiv)], shiv),
            "PyInstaller, one file": ([str(one_file)], one_file),
            "PyInstaller, directory": (
                [str(one_directory / one_directory.name)],
                one_directory,
            ),
        }
        for title, (command, path) in candidates.items():
            _smoke.run_smoke_test(command, settings)
            size = _measure.count_bytes(path)
            print_row(title, _measure.measure(command, size, settings))


ACTIONS = {"build": build, "compare": compare}
ACTIONS[(sys.argv[1:] or ["build"])[0]]()
