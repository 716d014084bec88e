"""Stand-ins for the review's scripts: a deployment of the project's own program on loopback addresses, executors, clients and an
operator. They follow the users' pages and use only the standard library."""

import http.client
import http.server
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "sassafrasshiftd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small deployments.
HOLD_MAX_MS = 1000
STOP_MS = 50
DRAIN_MS = 2000
CANCEL_MS = 3000
CONTACT_MS = 3000
HEARTBEAT_S = 1.5

PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT, EXECUTOR_PORT = 7720, 8166, 8161, 8167, 9464, 8080

NO_CONNECTION, NO_ANSWER = "no connection", "no answer"


class Record:
    """The file record.txt: what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """Sends one request on a new connection; returns the status and the body of the answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return NO_CONNECTION, ""
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return NO_ANSWER, ""
    finally:
        connection.close()


class Process:
    """One process of the deployment, started as in the deploy file. The settings are those that the template gives."""

    def __init__(self, deployment, name, ip, zone, is_core):
        self.deployment, self.name, self.ip, self.zone, self.is_core = deployment, name, ip, zone, is_core
        self.settings = os.path.join(deployment.folder, name + ".yaml")
        self.data_folder = os.path.join(deployment.folder, name)
        self.handle = None

    def write_settings(self, bootstrap):
        lines = [f'host: "{self.name}"', f'failureDomain: "{self.zone}"', f'peerAddress: "{self.ip}:{PEER_PORT}"', f'metricsAddress: "{self.ip}:{METRICS_PORT}"']
        if self.is_core:
            os.makedirs(self.data_folder, exist_ok=True)
            lines += [f'controlAddress: "{self.ip}:{CONTROL_PORT}"']
        else:
            lines += [f'jobsAddress: "{self.ip}:{FRONT_PORT}"', f'readinessAddress: "{self.ip}:{READY_PORT}"', "dispatchCores: 0.25"]
        lines += ["seeds:"] + [f'  - "{ip}:{CONTROL_PORT}"' for ip in self.deployment.core_ips[:3]] + [f"seedPort: {PEER_PORT}"]
        if self.is_core:
            lines += [f'dataFolder: "{self.data_folder}"']
        lines += [f"firstStart: {str(bootstrap).lower()}", f'maximumLease: "{HOLD_MAX_MS}ms"', 'shutdownTimeout: "6s"']
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "a")
        self.handle = subprocess.Popen([PROGRAM, "--cluster", self.settings], stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def kill(self):
        self.handle.kill()
        self.handle.wait()

    def signal(self, number):
        self.handle.send_signal(number)

    def front(self):
        return f"{self.ip}:{FRONT_PORT}"

    def control(self):
        return f"{self.ip}:{CONTROL_PORT}"

    def is_ready(self):
        return call(f"{self.ip}:{READY_PORT}", "GET", "/api/ready", timeout=1)[0] == 200


class Deployment:
    """Three core machines and some fronts, in up to three zones, each on its own loopback address."""

    def __init__(self, net, fronts=3, zones=("ljubljana-a", "kranj-b", "novo-mesto-c")):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = net
        self.core_ips = [f"127.{net}.1.{i}" for i in (1, 2, 3)]
        self.cores = [Process(self, f"core-{i + 1}", ip, zones[i % len(zones)], True) for i, ip in enumerate(self.core_ips)]
        self.fronts = [Process(self, f"front-{i + 1}", f"127.{net}.2.{i + 1}", zones[i % len(zones)], False) for i in range(fronts)]

    def processes(self):
        return self.cores + self.fronts

    def control_addresses(self):
        return [core.control() for core in self.cores]

    def start(self):
        for process in self.processes():
            process.start(bootstrap=True)

    def end(self):
        for process in self.processes():
            if process.handle and process.handle.poll() is None:
                process.handle.send_signal(signal.SIGCONT)
                process.kill()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes=1, timeout_ms=1500, service="dispatch", max_attempts=3):
    """A configuration with one queue for jobs, and idle routes beside it."""
    def route(name, prefix):
        return {"name": name, "host": "dispatch.example", "path_prefix": prefix, "kind": "unsafe", "timeout_ms": timeout_ms, "target_latency_ms": 60, "priority": 0, "service": service, "max_attempts": max_attempts, "stretch": 1.6}
    listed = [route("r-jobs", "/jobs/")] + [route(f"r-idle{i:05}", f"/idle{i:05}/") for i in range(routes - 1)]
    return {"version": version, "routes": listed, "services": [{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "enforces_capacity": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Executor:
    """One executor: obeys orders under fences and leases, and reports itself."""

    def __init__(self, record, identity, ip, control_addresses, zone, work_ms, capacity_cpu=64000, service="dispatch"):
        self.record, self.identity, self.address, self.control_addresses, self.zone = record, identity, f"{ip}:{EXECUTOR_PORT}", control_addresses, zone
        self.work_ms, self.capacity_cpu, self.service = work_ms, capacity_cpu, service
        self.cpu_in_use = 16000  # The thousandths of a core that each run is listed with.
        self.condition = threading.Condition()
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence, self.lease_end, self.sequence, self.next_end = 0, 0.0, 0, 1
        self.runs, self.closed, self.ended = {}, {}, []
        self.starts, self.ends = [], []  # (seconds of the record, task, run) and (seconds, task, run, how)
        self.state, self.stopping, self.drain_acknowledged_at = "ready", False, None
        handler = type("Handler", (OrderHandler,), {"executor": self})
        self.server = Server((ip, EXECUTOR_PORT), handler)
        for function in (self.server.serve_forever, self.report_regularly, self.end_due_runs):
            threading.Thread(target=function, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def report_body(self):
        self.sequence += 1
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": {"cpu": self.capacity_cpu, "mem_mb": 262144, "gpu": 0}, "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(), "sequence": self.sequence, "born": self.born}

    def report(self, first):
        """Reports to the control addresses in turn until one acknowledges within a second; returns whether one has."""
        body = self.report_body()
        for i in range(len(self.control_addresses)):
            if call(self.control_addresses[(first + i) % len(self.control_addresses)], "PUT", f"/api/instances/{self.identity}", body, timeout=1.0)[0] == 200:
                return True
            body["sequence"] = self.sequence = self.sequence + 1
        return False

    def report_regularly(self):
        turn = 0
        while not self.stopping:
            if self.state == "ready":
                self.report(turn)
            turn += 1
            time.sleep(HEARTBEAT_S)

    def drain(self):
        """Reports that this executor is draining, and notes when that was acknowledged."""
        self.state = "draining"
        if self.report(0):
            self.drain_acknowledged_at = self.record.now()
            self.record.write(f"{self.identity}: its report with state draining (sequence {self.sequence}) is acknowledged")

    def end(self):
        """Ends this executor as planned: everything that runs on it terminates."""
        call(self.control_addresses[0], "DELETE", f"/api/instances/{self.identity}", timeout=1.0)
        self.close()
        with self.condition:
            for task in list(self.runs):
                self.finish(task, "terminated with the executor")
        self.record.write(f"{self.identity}: has ended")

    def close(self):
        self.stopping = True
        self.server.shutdown()
        self.server.server_close()
        with self.condition:
            self.condition.notify_all()

    def finish(self, task, how):
        run, _ = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.ends.append((self.record.now(), task, run, how))
        self.record.write(f"{self.identity}: {task} run {run} ends {how}")
        self.condition.notify_all()

    def end_due_runs(self):
        while not self.stopping:
            with self.condition:
                now = time.monotonic()
                for task, (_, due) in list(self.runs.items()):
                    if now >= due:
                        self.finish(task, "done")
                    elif now >= self.lease_end:
                        self.finish(task, "lapsed")
                moments = [due for _, due in self.runs.values()] + ([self.lease_end] if self.runs else [])
                self.condition.wait(max(0.001, min(moments) - now) if moments else 0.5)

    def extend_lease(self, order):
        if "deadline_ms" in order:
            remaining = min(order["deadline_ms"] - self.clock_ms(), HOLD_MAX_MS) / 1000
            self.lease_end = max(self.lease_end, time.monotonic() + remaining)

    def hold(self, order):
        self.extend_lease(order)
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        self.condition.wait_for(lambda: self.ended or self.stopping, min(order.get("wait_ms", 0), 2000) / 1000)
        now = time.monotonic()
        rows = [[task, run, "", self.percent(task, due, now), self.cpu_in_use] for task, (run, due) in self.runs.items()]
        return 200, {"running": rows, "ended": self.ended[:500]}

    def percent(self, task, due, now):
        """How far a run is done."""
        return max(0, min(99, int(100 - (due - now) * 100_000 / self.work_ms(task))))

    def start(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend_lease(order)
        if run <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = (run, time.monotonic() + self.work_ms(task) / 1000)
        self.starts.append((self.record.now(), task, run))
        self.record.write(f"{self.identity}: {task} run {run} starts")
        self.condition.notify_all()
        return 200, {}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if task in self.runs and self.runs[task][0] <= run:
            self.finish(task, "stopped")
        return 200, {}

    def execute(self, path, order):
        with self.condition:
            if self.stopping:
                return None, {}
            if order.get("fence", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = order.get("fence", 0)
            return {"/api/hold": self.hold, "/api/run-start": self.start, "/api/run-stop": self.stop}[path](order)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


class OrderHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        order = json.loads(self.rfile.read(int(self.headers["content-length"])))
        executor = self.executor
        status, body = (421, {}) if self.headers["expect-instance"] != executor.identity else executor.execute(self.path, order)
        if status is None:
            self.close_connection = True
            return
        text = json.dumps({**body, "clock_ms": executor.clock_ms(), "born": executor.born}).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except OSError:
            self.close_connection = True

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass

    def log_message(self, *arguments):
        pass


def job(tasks, cpu=8000, estimate_ms=100):
    return {"spec": "stop", "best_effort": True, "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms}]}


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def play(folder, scenario):
    """Runs a scenario, which returns the breaks of the rule that it saw, and exits with 0, 1 or 2."""
    record = Record(folder)
    try:
        breaks = scenario(record)
    except CannotRun as error:
        record.write(f"the case could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record.write("BROKEN: " + text)
        print(text)
    record.write(f"result: {'the rule was broken' if breaks else 'the rule held'}")
    sys.exit(1 if breaks else 0)
