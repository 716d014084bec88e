"""Simulated executors, which report themselves to the cluster and execute the orders of its dispatcher. They enforce fencing tokens
and leases as real executors do, and record every violation of the guarantees."""

import http.client
import http.server
import json
import threading
import time
import zlib

MAXIMUM_LEASE_SECONDS = 1.0
# The CPU need of a task and the CPU capacity of an executor, in thousandths of a core.
TASK_CPU = 20000
CAPACITY = 64000


def run_time_of(task):
    """The run time of a task in seconds. It differs between tasks, so that some are running at any time."""
    return 0.05 + 0.6 * (zlib.crc32(task.encode()) % 100) / 100


class RunLog:
    """The runs of all executors of a test, and the violations of the guarantees (faults) found in them."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task -> number of current runs
        self.started = {}  # job -> number of starts
        self.done = {}  # task -> number of runs that completed
        self.faults = []

    def begin(self, task):
        with self.lock:
            self.running[task] = self.running.get(task, 0) + 1
            job = task.split(".")[0]
            self.started[job] = self.started.get(job, 0) + 1
            if self.running[task] > 1:
                self.faults.append(f"{task} has two concurrent runs")

    def count_starts(self):
        with self.lock:
            return sum(self.started.values())

    def end(self, task, outcome):
        with self.lock:
            self.running[task] -= 1
            if outcome == "done":
                self.done[task] = self.done.get(task, 0) + 1


class Executor:
    """Serves orders of the dispatcher over HTTP, and reports itself to the hosts that accept reports."""

    def __init__(self, run_log, identity, address, control_addresses):
        self.run_log, self.identity, self.address, self.control_addresses = run_log, identity, address, control_addresses
        self.condition = threading.Condition()
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence, self.lease, self.next_end_number, self.sequence = 0, 0.0, 1, 0
        self.runs, self.highest_closed_run, self.ended = {}, {}, []
        self.started = 0  # The number of runs since the start, or since a test has set it to zero.
        self.stopping = False
        handler = type("Handler", (Handler,), {"executor": self})
        host, port = address.split(":")
        self.server = http.server.ThreadingHTTPServer((host, int(port)), handler)
        self.server.daemon_threads = True
        for function in (self.server.serve_forever, self.report, self.end_due_runs):
            threading.Thread(target=function, daemon=True).start()

    def clock(self):
        """The time since the start of this executor, in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000)

    def report(self):
        attempt = 0
        while not self.stopping:
            self.sequence += 1
            body = {"service": "pool", "addr": self.address, "zone": "north", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": CAPACITY, "mem_mb": 1000, "gpu": 0}, "labels": ["a", "r1"], "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
            for _ in self.control_addresses:
                attempt += 1
                if call(self.control_addresses[attempt % len(self.control_addresses)], "PUT", f"/api/instances/{self.identity}", body, timeout=1)[0] == 200:
                    break
            with self.condition:
                self.condition.wait(0.5)

    def end_run(self, task, outcome):
        run, _ = self.runs.pop(task)
        self.highest_closed_run[task] = max(self.highest_closed_run.get(task, 0), run)
        self.ended.append([self.next_end_number, task, run, outcome, ""])
        self.next_end_number += 1
        self.run_log.end(task, outcome)
        self.condition.notify_all()

    def end_due_runs(self):
        while not self.stopping:
            with self.condition:
                now = time.monotonic()
                for task, (_, end_time) in list(self.runs.items()):
                    if now >= end_time:
                        self.end_run(task, "done")
                    elif now >= self.lease:
                        self.end_run(task, "lapsed")
                pending = [end_time for _, end_time in self.runs.values()] + ([self.lease] if self.runs else [])
                self.condition.wait(max(0.001, min(pending) - now) if pending else 0.5)

    def extend_lease(self, order):
        if "deadline_ms" in order:
            lease_end = time.monotonic() + min((order["deadline_ms"] - self.clock()) / 1000, MAXIMUM_LEASE_SECONDS)
            self.lease = max(self.lease, lease_end)

    def hold(self, order):
        self.extend_lease(order)
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        self.condition.wait_for(lambda: self.ended, order.get("wait_ms", 0) / 1000)
        return 200, {"running": [[task, run, "", 0] for task, (run, _) in self.runs.items()], "ended": self.ended}

    def start(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if order["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(order)
        if run <= self.highest_closed_run.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = (run, time.monotonic() + run_time_of(task))
        self.started += 1
        self.run_log.begin(task)
        if len(self.runs) * TASK_CPU > CAPACITY:
            self.run_log.faults.append(f"{self.identity} exceeds its capacity")
        self.condition.notify_all()
        return 200, {}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.highest_closed_run[task] = max(self.highest_closed_run.get(task, 0), run)
        if task in self.runs and self.runs[task][0] <= run:
            self.end_run(task, "stopped")
        return 200, {}

    def execute(self, path, order):
        with self.condition:
            if order.get("fence", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = order.get("fence", 0)
            return {"/api/hold": self.hold, "/api/run-start": self.start, "/api/run-stop": self.stop}[path](order)

    def close(self):
        self.stopping = True
        with self.condition:
            self.condition.notify_all()
        self.server.shutdown()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        order = json.loads(self.rfile.read(int(self.headers["content-length"])))
        if self.headers["expect-instance"] != self.executor.identity:
            status, body = 421, {}
        else:
            status, body = self.executor.execute(self.path, order)
        text = json.dumps({**body, "clock_ms": self.executor.clock(), "born": self.executor.born}).encode()
        try:
            self.send_response(status)
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except ConnectionError:
            # The dispatcher that sent the order has closed the connection.
            self.close_connection = True

    def log_message(self, *arguments):
        pass


CUT_OFF = 0
UNREACHABLE = -1


def call(address, method, path, body=None, headers=None, timeout=5):
    """Returns the status and the body of the response. The status is UNREACHABLE if no connection could be opened, and CUT_OFF if
    the request got no complete response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return UNREACHABLE, ""
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"content-type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return CUT_OFF, ""
    finally:
        connection.close()
