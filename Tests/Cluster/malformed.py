"""Entries of a faulty writer: reports that must be refused, and an executor whose answers to orders contain odd values."""

import http.client
import json

from executors import Executor

NESTING_LEVELS = 1_000_000


def malformed_reports(address):
    """The bodies of malformed reports of an executor at the address. Each has one odd member."""
    valid = {"service": "pool", "addr": address, "zone": "north", "state": "ready", "capacity": {"cpu": 64000, "mem_mb": 1000, "gpu": 0}, "labels": ["a", "r1"], "sequence": 1}
    host = address.split(":")[0]
    odd = [("sequence", value) for value in (-1, 2**64 - 1, 1e30, "1", None)]
    odd += [("born", value) for value in (-1, 1, 2**64 - 1, 1e30, True)]
    odd += [("capacity", {name: value}) for name in ("cpu", "mem_mb", "gpu") for value in (-1, 2**63 - 1, 2**64 - 1, 1e30, "1")]
    odd += [("addr", value) for value in (f"{host}:0", f"{host}:65536", f"{host}:-1", ":80", "[::1]:80", "odd.example:80", f"{address} ", f"{host}\0.example:80", 7)]
    odd += [("state", "resting"), ("labels", {"a": 1}), ("labels", [7]), ("zone", []), ("service", None), ("extra", "x" * 1_000_000)]
    bodies = [json.dumps({**valid, name: value}).encode() for name, value in odd]
    bodies.append(json.dumps(valid)[:-1].encode() + b',"extra":' + b"[" * NESTING_LEVELS + b"]" * NESTING_LEVELS + b"}")
    bodies.append(json.dumps(valid).encode().replace(b'"sequence": 1', b'"sequence": 1e400'))
    bodies.append(json.dumps(valid).encode().replace(b"north", b"\xff\xfe"))
    bodies += [b"", b"{", b"[]", b"\xff"]
    return bodies


def send_report(control_address, identity, body):
    """Returns the status of the response to a report."""
    host, port = control_address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("PUT", f"/api/instances/{identity}", body, {"content-type": "application/json"})
        return connection.getresponse().status
    finally:
        connection.close()


class RefusingExecutor(Executor):
    """Refuses its first starts with a reason of another type."""

    refusals_left = 5

    def start(self, order):
        if self.refusals_left > 0:
            self.refusals_left -= 1
            return 409, {"reason": [7]}
        return super().start(order)


class UnreadableExecutor(Executor):
    """Lists rows that cannot be read beside its runs."""

    def hold(self, order):
        status, body = super().hold(order)
        odd_running = [7, [], ["0.0.0.0", -1], [["nested"], 1]]
        odd_ended = [["1", "0.0.0.0", 1, "done", ""], [1, "0.0.0.0", 1, 7, ""]]
        return status, {"running": odd_running + body["running"], "ended": odd_ended + body["ended"]}
