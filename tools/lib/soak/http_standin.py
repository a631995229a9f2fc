"""HTTP server shared by the stand-ins of the soak."""

import http.server
import json
import os
import socket
import struct
import sys


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves keep-alive connections; a stand-in implements handle_request(body)."""

    protocol_version = "HTTP/1.1"
    timeout = 30

    def log_message(self, *_):
        pass

    def do_GET(self):
        self._handle()

    def do_POST(self):
        self._handle()

    def do_DELETE(self):
        self._handle()

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        try:
            self.handle_request(body)
        except (ConnectionError, socket.timeout):
            self.close_connection = True

    def answer(self, status, body=b"", headers=None):
        self.wfile.write(self.head(status, len(body), headers) + body)
        self.wfile.flush()

    def answer_json(self, status, value, headers=None):
        self.answer(status, json.dumps(value).encode(),
                    {"Content-Type": "application/json", **(headers or {})})

    def head(self, status, length, headers=None):
        """Returns the encoded status line and headers; without a length the body is chunked."""
        framing = f"Content-Length: {length}" if length is not None else "Transfer-Encoding: chunked"
        return self._head(status, framing, headers)

    def unframed_head(self, status, headers):
        """Returns the head of an answer whose body ends with the connection."""
        return self._head(status, "Connection: close", headers)

    def _head(self, status, framing, headers):
        lines = [f"HTTP/1.1 {status} {self.responses.get(status, ('',))[0]}", framing]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def chunk(self, data):
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        self.wfile.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Injected faults break connections; any other error is a fault of the stand-in and is logged."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def reset(handler):
    """Resets the connection."""
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(handler.connection.detach())
