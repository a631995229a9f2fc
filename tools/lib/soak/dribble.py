"""Answers sent in small pieces, for the stand-in of a backend server. A request names the shape: `?dribble=SHAPE`."""

import itertools
import time

EVENTS_BEFORE_STALL = 3
SLOW_EVENTS = 6
# Two pauses that the soak's configuration allows; a stream is left after three.
SLOW_EVENT_INTERVAL_SECONDS = 1.4
BYTE_INTERVAL_SECONDS = 0.02
HEAD_BYTE_INTERVAL_SECONDS = 0.002
STALL_INTERVAL_SECONDS = 0.1
SLOW_ANSWER_PIECES = 30
SLOW_ANSWER_INTERVAL_SECONDS = 0.08

# What a stalled stream goes on to send after its first events.
STALLED_STREAMS = {"comments": b": keep-alive\n\n", "emptyLines": b"\n", "unfinishedEvent": b"x"}
SOUND_STREAMS = ["slowEvents", "bytewiseEvents", "bytewiseHead"]
SOUND_ANSWERS = ["slowLength", "slowChunks", "slowClose"]
STALLED_ANSWERS = ["stalledLength", "stalledChunks", "stalledClose"]
# Of streams and whole answers.
ENDLESS_HEAD = "endlessSlowHead"


def send_bytewise(handler, data, interval):
    for byte in data:
        handler.wfile.write(bytes([byte]))
        time.sleep(interval)


def send_endless_head(handler, head):
    """Sends a head whose last header does not end."""
    handler.close_connection = True
    handler.wfile.write(head.removesuffix(b"\r\n") + b"Long: ")
    for _ in itertools.count():
        time.sleep(STALL_INTERVAL_SECONDS)
        handler.wfile.write(b"x")


def send_stream(handler, shape, head, next_event):
    """Sends a stream; next_event() returns the text of the next event and reports it as produced."""
    if shape == ENDLESS_HEAD:
        return send_endless_head(handler, head)
    send_bytewise(handler, head, HEAD_BYTE_INTERVAL_SECONDS if shape == "bytewiseHead" else 0)
    if shape in STALLED_STREAMS:
        return send_stalled_stream(handler, shape, next_event)
    for _ in range(SLOW_EVENTS):
        if shape == "bytewiseEvents":
            for byte in next_event():
                handler.chunk(bytes([byte]))
                time.sleep(BYTE_INTERVAL_SECONDS)
            continue
        handler.chunk(next_event())
        time.sleep(SLOW_EVENT_INTERVAL_SECONDS if shape == "slowEvents" else BYTE_INTERVAL_SECONDS)
    handler.wfile.write(b"0\r\n\r\n")
    return None


def send_stalled_stream(handler, shape, next_event):
    handler.close_connection = True
    for _ in range(EVENTS_BEFORE_STALL):
        handler.chunk(next_event())
    if shape == "unfinishedEvent":
        handler.chunk(b"data: ")
    for _ in itertools.count():
        time.sleep(STALL_INTERVAL_SECONDS)
        handler.chunk(STALLED_STREAMS[shape])


def send_answer(handler, shape, headers, body):
    """Sends a whole answer in pieces; stalled ones never send the last piece."""
    if shape == ENDLESS_HEAD:
        return send_endless_head(handler, handler.head(200, len(body), headers))
    if shape.endswith("Close"):
        handler.close_connection = True
        handler.wfile.write(handler.unframed_head(200, headers))
    else:
        handler.wfile.write(handler.head(200, len(body) if shape.endswith("Length") else None, headers))
    send = handler.chunk if shape.endswith("Chunks") else handler.wfile.write
    size = len(body) // SLOW_ANSWER_PIECES + 1
    pieces = [body[start:start + size] for start in range(0, len(body), size)]
    if shape in STALLED_ANSWERS:
        handler.close_connection = True
        for piece in pieces[:len(pieces) // 2]:
            send(piece)
        return wait_for_close(handler)
    for piece in pieces:
        send(piece)
        time.sleep(SLOW_ANSWER_INTERVAL_SECONDS)
    if shape.endswith("Chunks"):
        handler.wfile.write(b"0\r\n\r\n")
    return None


def wait_for_close(handler):
    """Waits until the client closes the connection, and sends nothing."""
    handler.rfile.read(1)


def send_endless_report(handler, head):
    """Sends the head of a report, then a byte of its body now and then."""
    handler.close_connection = True
    handler.wfile.write(head)
    for _ in itertools.count():
        time.sleep(STALL_INTERVAL_SECONDS)
        handler.wfile.write(b" ")
