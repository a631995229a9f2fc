"""Tests of the stand-in's responses without an end."""

import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools" / "lib"), str(ROOT / "platform" / "standins")]
import wire  # noqa: E402
from soak import backend, http_standin  # noqa: E402

MAX_BYTES = 100_000


class ClosingFile:
    """Keeps what is written, and fails as a connection that the client closes after MAX_BYTES."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data
        if len(self.data) > MAX_BYTES:
            raise ConnectionResetError

    def flush(self):
        pass


class RecordingHandler(http_standin.Handler):
    """A request whose response is kept in wfile."""

    def __init__(self, headers):  # the base class would serve a connection
        self.headers = headers
        self.command = "POST"
        self.path = "/streams/1"
        self.wfile = ClosingFile()


def chunks_of(response):
    """Returns the contents of the chunks of a response that does not end, without the last one."""
    rest = response.partition(b"\r\n\r\n")[2]
    contents = []
    while True:
        size, _, rest = rest.partition(b"\r\n")
        if len(rest) < int(size, 16):
            return contents
        contents.append(rest[:int(size, 16)])
        rest = rest[int(size, 16) + 2:]
        if not rest:
            return contents


class EndlessTest(unittest.TestCase):
    def body_of_repeats(self, service, last_event=0):
        """Returns the body, as far as it was sent, of a run with the fault endlessRepeats."""
        log = tempfile.NamedTemporaryFile()
        self.addCleanup(log.close)
        server = backend.Backend("i-1-1", service, log.name)
        self.addCleanup(server.log_file.close)
        server.faults = {"endlessRepeats": 1}
        handler = RecordingHandler({wire.REQUEST_ID: "r1", wire.LAST_EVENT: str(last_event)})
        with self.assertRaises(ConnectionResetError):
            (server.stream if service == "engine" else server.call)(handler, "r1", b"body")
        return b"".join(chunks_of(handler.wfile.data))

    # A repeated event with the id that is due and data of another origin looks like an event of the run (seed 513).
    def test_stream_repeats_an_event_of_its_run(self):
        for last_event, repeated in ((0, 1), (7, 8), (backend.EVENTS_PER_RUN, backend.EVENTS_PER_RUN)):
            with self.subTest(last_event=last_event):
                events = self.body_of_repeats("engine", last_event).split(b"\n\n")[:-1]
                self.assertGreater(len(events), backend.EVENTS_PER_RUN)
                self.assertEqual({f"id: {repeated}\ndata: r1:{repeated}".encode()}, set(events))

    def test_call_repeats_its_answer(self):
        body = self.body_of_repeats("register")
        answer = body[:body.index(b"}") + 1]
        self.assertIn(b'"request": "r1"', answer)
        self.assertEqual(body, answer * body.count(answer))


if __name__ == "__main__":
    unittest.main()
