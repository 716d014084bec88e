"""A server (an executor of the pages) that runs tasks under leases and reports itself. It does what the pages say and no more."""

import http.server
import json
import threading
import time

from deployment import call

LONGEST_LEASE_S = 1.0
LISTED_ENDS = 500


class Runs:
    """The starts and ends on all servers of a case."""

    def __init__(self, record):
        self.record, self.lock, self.events = record, threading.Lock(), []

    def add(self, kind, server, task, run, how=""):
        with self.lock:
            self.events.append((self.record.now(), kind, server, task, run, how))
        self.record.write(f"{server} {kind} {task} run {run} {how}".rstrip())

    def starts(self, job):
        return [event for event in self.events if event[1] == "starts" and event[3].startswith(job + ".")]

    def starts_on(self, server):
        return [event for event in self.events if event[1] == "starts" and event[2] == server]

    def ends(self, job):
        return [event for event in self.events if event[1] == "ends" and event[3].startswith(job + ".")]

    def running(self, job):
        return len(self.starts(job)) - len(self.ends(job))


class Server:
    """The spec of a job is the work of each of its tasks, in seconds."""

    def __init__(self, runs, identity, address, control_addresses, service="rota", zone="zone-a", cpu=64000, labels=("a", "r1"), heartbeat_s=1.5):
        self.runs_log, self.identity, self.address, self.control_addresses = runs, identity, address, list(control_addresses)
        self.service, self.zone, self.cpu, self.labels, self.heartbeat_s = service, zone, cpu, list(labels), heartbeat_s
        self.task_cpu = 0
        self.condition = threading.Condition()
        self.next_control = sum(map(ord, identity))
        self.up = False
        self.is_cut_from_control = False
        # The times of the starts that brought the server over its capacity, and the thousandths of a core in use then.
        self.overloads = []
        self.server = None
        self.handler = type("BoundHandler", (Handler,), {"owner": self})
        self.open()

    def open(self):
        """Starts a new boot, which knows nothing of before."""
        self.born, self.started_at = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_end, self.next_end, self.sequence = 0, 0.0, 1, 0
        self.running, self.closed, self.ended, self.work = {}, {}, [], {}
        self.state, self.up, self.boot = "ready", True, getattr(self, "boot", 0) + 1
        host, port = self.address.split(":")
        self.server = HttpServer((host, int(port)), self.handler)
        for function in (self.server.serve_forever, lambda boot=self.boot: self.report_repeatedly(boot), lambda boot=self.boot: self.end_due_runs(boot)):
            threading.Thread(target=function, daemon=True).start()

    def crash(self):
        with self.condition:
            for task in list(self.running):
                self.end(task, "crashed")
            self.up = False
            self.condition.notify_all()
        self.server.shutdown()
        self.server.server_close()
        self.server.close_all()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def report(self):
        """Sends a status report to one node after another until one confirms it. Returns whether one has."""
        self.sequence += 1
        body = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpu": 0}, "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
        for _ in self.control_addresses:
            self.next_control += 1
            address = self.control_addresses[self.next_control % len(self.control_addresses)]
            status = self.send_report(address, body)
            self.runs_log.record.write(f"{self.identity} reports {self.state} labels {self.labels} to {address}: {status}")
            if status and 200 <= status < 300:
                return True
            if not self.up:
                return False
            body["clock_ms"] = self.clock()
        return False

    def send_report(self, address, body):
        """Behind a cut the call gets no response, and the next node is called after a second."""
        if self.is_cut_from_control:
            time.sleep(1)
            return None
        return call(address, "PUT", f"/api/instances/{self.identity}", body, timeout=1)[0]

    def report_repeatedly(self, boot):
        while self.up and self.boot == boot:
            self.report()
            time.sleep(self.heartbeat_s)

    def end(self, task, how):
        run, _ = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.runs_log.add("ends", self.identity, task, run, how)
        self.condition.notify_all()

    def end_due_runs(self, boot):
        while self.up and self.boot == boot:
            with self.condition:
                now = time.monotonic()
                for task, (_, due) in list(self.running.items()):
                    if now >= due:
                        self.end(task, "done")
                    elif now >= self.lease_end:
                        self.end(task, "lapsed")
                pending = [due for _, due in self.running.values()] + ([self.lease_end] if self.running else [])
                self.condition.wait(max(0.001, min(pending) - now) if pending else 0.5)

    def take_lease(self, order):
        if "deadline_ms" in order:
            self.lease_end = max(self.lease_end, time.monotonic() + min((order["deadline_ms"] - self.clock()) / 1000, LONGEST_LEASE_S))

    def run_list(self):
        running = [[task, run, "", int(100 - 100 * max(0.0, due - time.monotonic()) / max(0.001, float(self.work.get(task, 1)))), 0] for task, (run, due) in self.running.items()]
        return {"running": running, "ended": self.ended[:LISTED_ENDS]}

    def hold(self, order):
        self.take_lease(order)
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        self.condition.wait_for(lambda: self.ended or not self.up, min(order.get("wait_ms", 0), 2000) / 1000)
        return 200, self.run_list()

    def start(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task][0] == run:
            return 200, {}
        if order["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.take_lease(order)
        if run <= self.closed.get(task, 0) or task in self.running:
            return 409, {"reason": "old"}
        work = float(order["spec"])
        self.work[task] = work
        in_use = sum(self.needs_of(other) for other in [*self.running, task])
        if in_use > self.cpu:
            self.overloads.append((self.runs_log.record.now(), in_use))
        self.running[task] = (run, time.monotonic() + work)
        self.runs_log.add("starts", self.identity, task, run)
        self.condition.notify_all()
        return 200, {}

    def needs_of(self, task):
        """The thousandths of a core that a task of the case needs."""
        return self.task_cpu

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            self.end(task, "stopped")
        return 200, {}

    def execute(self, path, order):
        with self.condition:
            if order.get("fence", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = order.get("fence", 0)
            return {"/api/hold": self.hold, "/api/run-start": self.start, "/api/run-stop": self.stop}[path](order)

    def answer(self, path, order):
        """What a POST is answered with; None for no answer."""
        status, body = self.execute(path, order)
        return status, {**body, "clock_ms": self.clock(), "born": self.born}


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, *arguments):
        self.open_sockets = set()
        super().__init__(*arguments)

    def get_request(self):
        connection, address = super().get_request()
        self.open_sockets.add(connection)
        return connection, address

    def close_all(self):
        for connection in list(self.open_sockets):
            try:
                connection.shutdown(2)
                connection.close()
            except OSError:
                pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def respond(self, status, body):
        text = json.dumps(body).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except OSError:
            self.close_connection = True

    def do_GET(self):
        self.respond(200 if self.path == "/health" else 404, {})

    def do_POST(self):
        owner = self.owner
        order = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.headers.get("Expect-Instance", owner.identity) != owner.identity:
            return self.respond(421, {})
        answer = owner.answer(self.path, order) if owner.up else None
        if answer is None:
            self.close_connection = True
            return None
        return self.respond(*answer)

    def log_message(self, *arguments):
        pass


def job(work_s, count=1, cpu=1000, estimate_ms=None, **step):
    return {"spec": str(work_s), "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms or int(work_s * 1000), **step}]}
