"""Responses without an end, for the stand-in of a backend server."""

import itertools

import wire

CHUNK = b"x" * 65536
# Names the part of the response that does not end.
SHAPES = ["endlessChunks", "endlessClose", "endlessLength", "endlessExtension", "endlessHead",
          "endlessTrailer", "endlessInterim", "endlessAfter", "endlessEvent", "endlessHeaders",
          "endlessBlankLines", "endlessComments", "endlessRepeats", "endlessOthers"]
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 1\r\n\r\nx" % wire.REQUEST_ID.encode()


def first_bytes(handler, shape, headers, body):
    if shape == "endlessHead":
        return b"HTTP/1.1 200 OK\r\nX-Long: "
    if shape == "endlessHeaders":
        return b"HTTP/1.1 200 OK\r\n"
    if shape in ("endlessInterim", "endlessBlankLines", "endlessOthers"):
        return b""
    if shape == "endlessClose":
        head = handler.head(200, 0, {**headers, "Connection": "close"})
        return head.replace(b"Content-Length: 0\r\n", b"")
    if shape == "endlessLength":
        return handler.head(200, 10 ** 12, headers)
    if shape == "endlessAfter":
        return handler.head(200, len(body), headers) + body
    head = handler.head(200, None, headers)
    if shape == "endlessExtension":
        return head + b"5;long="
    if shape == "endlessTrailer":
        return head + b"%x\r\n%s\r\n0\r\nX-Long: " % (len(body), body)
    if shape == "endlessEvent":
        return head + b"f\r\nid: 1\ndata: abc\r\n"
    return head


def next_bytes(shape, event):
    if shape == "endlessInterim":
        return b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000
    if shape == "endlessHeaders":
        return b"Name: value\r\n" * 1000
    if shape == "endlessBlankLines":
        return b"\r\n" * 1000
    if shape == "endlessOthers":
        return OTHER_ANSWER * 100
    if shape in ("endlessComments", "endlessRepeats"):
        repeated = b": comment\n\n" if shape == "endlessComments" else event
        return b"%x\r\n%s\r\n" % (len(repeated) * 100, repeated * 100)
    if shape in ("endlessChunks", "endlessEvent"):
        return b"%x\r\n%s\r\n" % (len(CHUNK), CHUNK)
    return CHUNK


def send_endless_answer(handler, shape, headers, body, event):
    """Sends until the client closes the connection. Shapes with a complete answer start with body; endlessRepeats
    repeats event, which must be the run's own: a client cannot tell well-formed data of another origin from it."""
    handler.close_connection = True
    handler.wfile.write(first_bytes(handler, shape, headers, body))
    for _ in itertools.count():
        handler.wfile.write(next_bytes(shape, event))
