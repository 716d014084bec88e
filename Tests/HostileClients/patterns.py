"""The attack patterns. Each opens connections, sends what it can while the process accepts it, and returns the open connections."""

import json
import select
import socket
import struct
import threading
import time

HOST = "127.0.51.1"
PEERS, JOBS, CONTROL, READINESS, METRICS = range(7801, 7806)
BODY = 262_144
# An attack ends when nothing could be sent for the first time, or when the second one has passed.
QUIET_SECONDS = 0.3
LONGEST_SECONDS = 3.0


class Client:
    """A connection that sends a list of parts, one per turn, and never reads an answer."""

    def __init__(self, port, *parts):
        self.socket = socket.socket()
        # A small window at the client keeps unread answers at the server.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex((HOST, port))
        self.parts = [memoryview(part) for part in parts]

    def turn(self):
        """Sends once. Returns whether anything was sent."""
        try:
            sent = self.socket.send(self.parts[0])
        except BlockingIOError:
            return False
        except OSError:
            self.parts = []
            return False
        self.parts[0] = self.parts[0][sent:]
        if not self.parts[0]:
            self.parts.pop(0)
        return sent > 0

    def close(self):
        self.socket.close()


def flood(clients, observe):
    end = time.monotonic() + LONGEST_SECONDS
    quiet_since = time.monotonic()
    while time.monotonic() < end and time.monotonic() - quiet_since < QUIET_SECONDS:
        poll = select.poll()
        pending = {client.socket.fileno(): client for client in clients if client.parts}
        for descriptor in pending:
            poll.register(descriptor, select.POLLOUT)
        for descriptor, _ in poll.poll(20):
            if pending[descriptor].turn():
                quiet_since = time.monotonic()
        observe()
    return clients


def head(path, *fields, method="POST"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "host: rota.example", *fields, "", ""]).encode()


def short_body(path="/q/x", missing=100):
    return head(path, f"content-length: {BODY}") + b"x" * (BODY - missing)


def chunked_body(path="/q/x", size=BODY - 100):
    return head(path, "transfer-encoding: chunked") + f"{BODY:x}\r\n".encode() + b"x" * size


def bodies_whole(observe, _):
    """Valid jobs of the largest size, which wait for capacity."""
    def job(number):
        text = json.dumps({"spec": "x" * (BODY - 300), "best_effort": True, "steps": [{"count": 1, "cpu": 64000, "estimate_ms": 400}]}).encode()
        return head(f"/q/whole-{number}", f"content-length: {len(text)}", "deadline-ms: 3000") + text
    return flood([Client(JOBS, job(number)) for number in range(300)], observe)


def bodies_short(observe, _):
    return flood([Client(JOBS, short_body()) for _ in range(300)], observe)


def bodies_unrouted(observe, _):
    return flood([Client(JOBS, short_body("/none")) for _ in range(300)], observe)


def bodies_chunked(observe, _):
    return flood([Client(JOBS, chunked_body()) for _ in range(300)], observe)


def bodies_in_pieces(observe, _):
    text = short_body()
    return flood([Client(JOBS, *(text[start:start + 4096] for start in range(0, len(text), 4096))) for _ in range(300)], observe)


def bodies_over_limit(observe, _):
    announced = head("/q/x", "content-length: 8000000") + b"x" * 7_000_000
    endless = head("/q/x", "transfer-encoding: chunked") + b"1000\r\n" + b"x" * 4096 + b"\r\n"
    endless += (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 1700
    return flood([Client(JOBS, text) for text in [announced, endless] * 50], observe)


def header_fields(observe, _):
    """Heads with thousands of short fields, and unfinished ones with a few long fields."""
    short = head("/q/x", *(f"a{i}:b" for i in range(4000)), method="GET")
    long = head("/q/x", *(f"a{i}:" + "b" * 4000 for i in range(90)), method="GET")[:-4]
    return flood([Client(JOBS, text) for text in [short, long, long] * 100], observe)


def pipelined(observe, _):
    text = head("/q/x", method="GET") * 2000
    # While the first request of a connection is handled, the others wait in the kernel.
    job = json.dumps({"spec": "x", "best_effort": True, "steps": [{"count": 1, "cpu": 64000, "estimate_ms": 400}]}).encode()
    waiting = [head(f"/q/piped-{number}", f"content-length: {len(job)}", "deadline-ms: 8000") + job + text * 10 for number in range(100)]
    return flood([Client(JOBS, text) for _ in range(200)] + [Client(JOBS, text) for text in waiting], observe)


def slow_clients(observe, _):
    """More connections than the process may have descriptors: silent, with part of a head, and with part of a body."""
    starts = [b"", b"POST /q/x HT", head("/q/x", "content-length: 1000") + b"x"]
    return flood([Client(JOBS, *([start] if start else [])) for start in starts * 200], observe)


def slow_readers(observe, _):
    """Answers of the ports that give long ones, which are not read."""
    metrics, config = head("/metrics", method="GET") * 400, head("/api/config", method="GET") * 4000
    return flood([Client(METRICS, metrics) for _ in range(100)] + [Client(CONTROL, config) for _ in range(100)], observe)


def other_ports(observe, _):
    return flood([Client(port, short_body("/api/x")) for port in (PEERS, CONTROL, READINESS, METRICS) for _ in range(100)], observe)


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def http2_start():
    # The settings frame leaves all values at their defaults.
    return b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0)


def http2_head(path, method=b"\x83"):
    # 0x83: method POST, 0x86: scheme http; 0x04 and 0x01: literal path and authority.
    return method + b"\x86\x04" + bytes([len(path)]) + path.encode() + b"\x01\x0crota.example"


def http2_streams(observe, _):
    """Connections with many streams, the bodies of which stop just short of the limit."""
    data = BODY // 16384 - 1
    text = http2_start()
    for stream in range(1, 60, 2):
        text += frame(1, 4, stream, http2_head("/q/x")) + frame(0, 0, stream, b"x" * 16384) * data
    ports = [JOBS, CONTROL, READINESS, METRICS, PEERS]
    return flood([Client(ports[number % 5], text) for number in range(30)], observe)


def http2_resets(observe, _):
    """Streams that are reset at once, and pings, the answers to which are not read."""
    text = http2_start()
    for stream in range(1, 20_000, 2):
        text += frame(1, 5, stream, http2_head("/q/x", b"\x82")) + frame(3, 0, stream, b"\x00\x00\x00\x08") + frame(6, 0, 0, b"pingping") * 10
    return flood([Client(JOBS, text) for _ in range(50)], observe)


def http2_header_fields(observe, _):
    """A head that refers 16,000 times to one long field, which takes a byte each time."""
    field = b"\x40\x01a\x7f\xa1\x1e" + b"x" * 4000  # Literal with indexing, a length of 4,000.
    block = http2_head("/q/x", b"\x82") + field
    text = http2_start() + frame(1, 5, 1, block)
    for stream in range(3, 41, 2):
        text += frame(1, 5, stream, http2_head("/q/x", b"\x82") + b"\xbe" * 16_000)
    return flood([Client(port, text) for port in (JOBS, CONTROL, READINESS, METRICS, PEERS) for _ in range(4)], observe)


def answer_as_targets(observe, head_bytes, part):
    """Reports targets that answer each order with a head and then the same part again and again."""
    listeners, reports = [], []

    def answer(connection):
        try:
            connection.recv(65536)
            connection.sendall(head_bytes)
            for _ in range(1000):
                connection.sendall(part)
            connection.recv(1)
        except OSError:
            pass
        connection.close()

    def serve(listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=(connection,), daemon=True).start()

    for number in range(1, 9):
        listener = socket.create_server((f"127.0.53.{number}", 7900))
        listeners.append(listener)
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        report = json.dumps({"service": "pool", "addr": f"127.0.53.{number}:7900", "zone": "north", "state": "ready", "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0}, "labels": ["a", "r1"], "sequence": 1, "born": int(time.time() * 1000)}).encode()
        reports.append(Client(CONTROL, head(f"/api/instances/i-bad-{number}", f"content-length: {len(report)}", method="PUT") + report))
    flood(reports, observe)
    end = time.monotonic() + LONGEST_SECONDS
    while time.monotonic() < end:
        observe()
        select.select([], [], [], 0.02)
    return listeners


def target_answers(observe, _):
    """Targets that answer orders with bodies without an end."""
    return answer_as_targets(observe, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"10000\r\n" + b"x" * 65536 + b"\r\n")


def target_heads(observe, _):
    """Targets that answer orders with a header field without an end."""
    return answer_as_targets(observe, b"HTTP/1.1 200 OK\r\na: ", b"x" * 65536)


def combined(observe, executor):
    clients = [Client(JOBS, text) for text in [short_body(), chunked_body(), short_body("/none"), head("/q/x", method="GET") * 2000, b"POST /q/x HT"] * 50]
    clients += [Client(port, short_body("/api/x")) for port in (PEERS, CONTROL, READINESS, METRICS) for _ in range(40)]
    clients += [Client(METRICS, head("/metrics", method="GET") * 400) for _ in range(30)]
    return flood(clients, observe)


PATTERNS = {function.__name__.replace("_", "-"): function for function in (
    bodies_whole, bodies_short, bodies_unrouted, bodies_chunked, bodies_in_pieces, bodies_over_limit, header_fields, pipelined, slow_clients,
    slow_readers, other_ports, http2_streams, http2_resets, http2_header_fields, target_answers, target_heads, combined)}
