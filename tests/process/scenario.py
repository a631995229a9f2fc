"""What the process tests in this folder share: where their stand-ins are found, their working folder, their checks of a
gateway's end and their result. It is imported before the stand-ins."""

import contextlib
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform" / "standins"), str(ROOT / "tools" / "lib")]


@contextlib.contextmanager
def working_folder(argument=1):
    """The folder that the command line names, which is kept, or else a temporary one."""
    if len(sys.argv) <= argument:
        with tempfile.TemporaryDirectory() as folder:
            yield folder
        return
    folder = sys.argv[argument]
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    yield folder


def check_running(gateway):
    if gateway.process.child.poll() is not None:
        yield "the gateway has ended"


def exit_code(failures, most_lines=None):
    """Prints the failures, at most so many, and returns the exit code of the test."""
    for failure in failures[:most_lines]:
        print("FAILED", failure)
    return 1 if failures else 0
