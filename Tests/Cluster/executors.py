"""Stand-in executors: they report themselves to the cluster, carry out orders under fences and leases, and note whatever must
never happen."""

import http.client
import http.server
import json
import threading
import time
import zlib

MAXIMUM_LEASE = 1.0
TASK_CPU = 20000
CAPACITY = 64000


def work_of(task):
    """Seconds; tasks differ, so that some are always under way."""
    return 0.05 + 0.6 * (zlib.crc32(task.encode()) % 100) / 100


class Ledger:
    """What all executors of a test have done."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task -> number of runs at this moment
        self.started = {}  # job -> number of starts
        self.done = {}  # task -> number of ends that were done
        self.faults = []

    def begin(self, task):
        with self.lock:
            self.running[task] = self.running.get(task, 0) + 1
            job = task.split(".")[0]
            self.started[job] = self.started.get(job, 0) + 1
            if self.running[task] > 1:
                self.faults.append(f"{task} runs twice at a time")

    def end(self, task, how):
        with self.lock:
            self.running[task] -= 1
            if how == "done":
                self.done[task] = self.done.get(task, 0) + 1


class Executor:
    def __init__(self, ledger, identity, address, controls):
        self.ledger, self.identity, self.address, self.controls = ledger, identity, address, controls
        self.condition = threading.Condition()
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.fence, self.lease, self.next_end, self.sequence = 0, 0.0, 1, 0
        self.runs, self.closed, self.ended = {}, {}, []
        self.stopping = False
        handler = type("Handler", (Handler,), {"executor": self})
        host, port = address.split(":")
        self.server = http.server.ThreadingHTTPServer((host, int(port)), handler)
        self.server.daemon_threads = True
        for function in (self.server.serve_forever, self.report, self.advance):
            threading.Thread(target=function, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000)

    def report(self):
        turn = 0
        while not self.stopping:
            self.sequence += 1
            body = {"service": "pool", "addr": self.address, "zone": "north", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": CAPACITY, "mem_mb": 1000, "gpu": 0}, "labels": ["a", "r1"], "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
            for _ in self.controls:
                turn += 1
                if call(self.controls[turn % len(self.controls)], "PUT", f"/api/instances/{self.identity}", body, timeout=1)[0] == 200:
                    break
            with self.condition:
                self.condition.wait(0.5)

    def finish(self, task, how):
        run, _ = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.ledger.end(task, how)
        self.condition.notify_all()

    def advance(self):
        while not self.stopping:
            with self.condition:
                now = time.monotonic()
                for task, (_, until) in list(self.runs.items()):
                    if now >= until:
                        self.finish(task, "done")
                    elif now >= self.lease:
                        self.finish(task, "lapsed")
                pending = [until for _, until in self.runs.values()] + ([self.lease] if self.runs else [])
                self.condition.wait(max(0.001, min(pending) - now) if pending else 0.5)

    def extend(self, order):
        if "deadline_ms" in order:
            until = time.monotonic() + min((order["deadline_ms"] - self.clock()) / 1000, MAXIMUM_LEASE)
            self.lease = max(self.lease, until)

    def hold(self, order):
        self.extend(order)
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        self.condition.wait_for(lambda: self.ended, order.get("wait_ms", 0) / 1000)
        return 200, {"running": [[task, run, "", 0] for task, (run, _) in self.runs.items()], "ended": self.ended}

    def start(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if order["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(order)
        if run <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = (run, time.monotonic() + work_of(task))
        self.ledger.begin(task)
        if len(self.runs) * TASK_CPU > CAPACITY:
            self.ledger.faults.append(f"{self.identity} is overfilled")
        self.condition.notify_all()
        return 200, {}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if task in self.runs and self.runs[task][0] <= run:
            self.finish(task, "stopped")
        return 200, {}

    def carry_out(self, path, order):
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
            status, body = self.executor.carry_out(self.path, order)
        text = json.dumps({**body, "clock_ms": self.executor.clock(), "born": self.executor.born}).encode()
        try:
            self.send_response(status)
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except ConnectionError:
            # The dispatcher that gave the order is gone.
            self.close_connection = True

    def log_message(self, *arguments):
        pass


CUT_OFF = 0
UNREACHABLE = -1


def call(address, method, path, body=None, headers=None, timeout=5):
    """Returns the status and the body; CUT_OFF where no answer came, UNREACHABLE where nothing was sent."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return UNREACHABLE, ""
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"content-type": "application/json", **(headers or {})})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return CUT_OFF, ""
    finally:
        connection.close()
