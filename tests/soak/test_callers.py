"""Tests of the soak's callers."""

import pathlib
import random
import sys
import types
import unittest
import unittest.mock

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools" / "lib"), str(ROOT / "platform" / "standins")]
import wire  # noqa: E402
from soak import callers  # noqa: E402


class CallersTest(unittest.TestCase):
    def setUp(self):
        self.gateway = types.SimpleNamespace(name="gateway-0", caller_port=1)
        cluster = types.SimpleNamespace(random=random.Random(1), gateways=[self.gateway],
                                        gateways_in_rotation=lambda: [self.gateway], accounts={"account-0": {"key-0"}})
        self.callers = callers.Callers(cluster, 1)

    def test_callers_wait_for_as_long_as_they_say(self):
        """Guards against a caller that leaves before the time that its request names, and whose request counts as one
        that the gateway has cut. A connection attempt that a stopping gateway ignores takes a second."""
        with unittest.mock.patch.object(callers.http.client, "HTTPConnection") as connection:
            connection.return_value.request.side_effect = ConnectionResetError
            self.callers._keep_connection(self.gateway)
            for kind in callers.KINDS:
                self.callers._send_attempt(kind)
        sent = connection.return_value.request.call_args_list
        self.assertEqual(len(callers.KINDS) + 1, len(sent))
        for opened, request in zip(connection.call_args_list, sent):
            named_seconds = int(request.args[3][wire.DEADLINE]) / 1000
            self.assertGreaterEqual(opened.kwargs["timeout"], named_seconds + 1)


if __name__ == "__main__":
    unittest.main()
