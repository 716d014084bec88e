"""A stand-in for an executor, which does what the users' protocol page says: it reports itself, obeys orders under fencing tokens and
leases, and lists what runs and what has ended. It does not guard its capacity."""

import http.server
import json
import threading
import time

from client import call

HOLD_MAX_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.5
ENDS_IN_ONE_ANSWER = 500
LONGEST_WAIT_SECONDS = 2.0
CHANNELS = 64


class Observer:
    """Collects what the executors see. Times are those of the record."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.starts = []  # (time, executor, boot, task, run)
        self.ends = []  # (time, executor, boot, task, run, how)
        self.listed = {}  # (executor, boot) -> when a list of that boot was first asked for

    def on_start(self, executor, boot, task, run, spec):
        with self.lock:
            self.starts.append((self.record.now(), executor, boot, task, run))
            self.record.write(f"{executor} boot {boot} starts {task} run {run}, spec {spec[:60]}")

    def on_end(self, executor, boot, task, run, how):
        with self.lock:
            self.ends.append((self.record.now(), executor, boot, task, run, how))
            self.record.write(f"{executor} boot {boot} ends {task} run {run}: {how}")

    def on_list(self, executor, boot):
        with self.lock:
            if (executor, boot) not in self.listed:
                self.listed[(executor, boot)] = self.record.now()
                self.record.write(f"{executor} boot {boot} answers its first hold order")

    def intervals(self):
        """For each task: (from, to, executor, run, how); `to` is None while it runs."""
        with self.lock:
            ends = {(executor, boot, task, run): (at, how) for at, executor, boot, task, run, how in self.ends}
            found = {}
            for at, executor, boot, task, run in self.starts:
                end, how = ends.get((executor, boot, task, run), (None, "running"))
                found.setdefault(task, []).append((at, end, executor, run, how))
            return found


def seconds_of(spec):
    """The run time that the tests write into the spec of a job, as in "run 250 ms"."""
    words = spec.split()
    return int(words[1]) / 1000 if len(words) > 2 and words[0] == "run" else 0.05


class ChannelLimitedServer(http.server.ThreadingHTTPServer):
    """Serves as many channels at a time as an executor on the sheets has. Further ones wait."""

    allow_reuse_address = True
    request_queue_size = 1024
    daemon_threads = True

    def __init__(self, address, handler):
        self.channels = threading.Semaphore(CHANNELS)
        self.is_closing = False
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        while not self.channels.acquire(timeout=0.05):
            if self.is_closing:
                self.shutdown_request(request)
                return
        super().process_request(request, client_address)

    def process_request_thread(self, request, client_address):
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.channels.release()


class Executor:
    """One executor under one id and address, which can crash and start again."""

    def __init__(self, observer, identity, address, control_addresses, service, zone, labels, cpu=64000, mem_mb=262144):
        self.observer, self.identity, self.address, self.control_addresses = observer, identity, address, control_addresses
        self.service, self.zone, self.labels, self.cpu, self.mem_mb = service, zone, labels, cpu, mem_mb
        self.condition = threading.Condition()
        self.boot = 0
        self.server = None
        # While it is cut off from control, its status reports do not arrive.
        self.cut_from_control = False
        self.acknowledged_reports = 0

    def start(self):
        with self.condition:
            self.boot += 1
            self.born = int(time.time() * 1000)
            self.started_at = time.monotonic()
            self.fence, self.lease, self.next_end, self.sequence, self.state = 0, 0.0, 1, 0, "ready"
            self.runs, self.closed, self.ended = {}, {}, []
            boot = self.boot
        handler = type("Handler", (Handler,), {"executor": self, "boot": boot})
        host, port = self.address.split(":")
        self.server = ChannelLimitedServer((host, int(port)), handler)
        self.connections = set()
        for function in (self.server.serve_forever, lambda: self.report_until_end(boot), lambda: self.end_due_runs(boot)):
            threading.Thread(target=function, daemon=True).start()

    def crash(self):
        """Ends at once: what runs ends with it, and its connections break."""
        with self.condition:
            boot, self.boot = self.boot, self.boot + 0.5
            for task, (run, _, _) in self.runs.items():
                self.observer.on_end(self.identity, boot, task, run, "crashed")
            self.runs = {}
            self.condition.notify_all()
        self.server.is_closing = True
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.close()
            except OSError:
                pass

    def crash_and_restart(self, down_seconds):
        boot = self.boot
        self.crash()
        time.sleep(down_seconds)
        with self.condition:
            self.boot = boot
        self.start()

    def stop(self):
        if self.server:
            self.crash()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def report_until_end(self, boot):
        attempt = self.address.__hash__() % len(self.control_addresses)
        while self.boot == boot:
            for _ in self.control_addresses:
                with self.condition:
                    self.sequence += 1
                    body = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
                if self.cut_from_control:
                    break
                status, _ = call(self.control_addresses[attempt % len(self.control_addresses)], "PUT", f"/api/instances/{self.identity}", body, timeout=1)
                if 200 <= status < 300:
                    if self.acknowledged_reports == 0:
                        self.observer.record.write(f"{self.identity} boot {boot}: its first status report is confirmed")
                    self.acknowledged_reports += 1
                    break
                attempt += 1
            end = time.monotonic() + HEARTBEAT_SECONDS
            while self.boot == boot and time.monotonic() < end:
                time.sleep(0.02)

    def end_run(self, task, how):
        run, _, _ = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.observer.on_end(self.identity, self.boot, task, run, how)
        self.condition.notify_all()

    def end_due_runs(self, boot):
        while self.boot == boot:
            with self.condition:
                if self.boot != boot:
                    return
                now = time.monotonic()
                for task, (_, _, ends_at) in list(self.runs.items()):
                    if now >= ends_at:
                        self.end_run(task, "done")
                    elif now >= self.lease:
                        self.end_run(task, "lapsed")
                due = [ends_at for _, _, ends_at in self.runs.values()] + ([self.lease] if self.runs else [])
                self.condition.wait(min(0.2, max(0.001, min(due) - now)) if due else 0.2)

    def extend_lease(self, order):
        if "deadline_ms" in order:
            granted = min((order["deadline_ms"] - self.clock()) / 1000, HOLD_MAX_SECONDS)
            self.lease = max(self.lease, time.monotonic() + granted)

    def hold(self, order):
        self.extend_lease(order)
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        self.observer.on_list(self.identity, self.boot)
        boot = self.boot
        self.condition.wait_for(lambda: self.ended or self.boot != boot, min(order.get("wait_ms", 0) / 1000, LONGEST_WAIT_SECONDS))
        return 200, {"running": [[task, run, "", int(100 * min(1, (time.monotonic() - since) / max(0.001, ends_at - since)))] for task, (run, since, ends_at) in self.runs.items()],
                     "ended": self.ended[:ENDS_IN_ONE_ANSWER]}

    def start_run(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if order["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(order)
        if run <= self.closed.get(task, 0) or task in self.runs:
            return 409, {"reason": "old"}
        now = time.monotonic()
        self.runs[task] = (run, now, now + seconds_of(order["spec"]))
        self.observer.on_start(self.identity, self.boot, task, run, order["spec"])
        self.condition.notify_all()
        return 200, {}

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if task in self.runs and self.runs[task][0] <= run:
            self.end_run(task, "stopped")
        return 200, {}

    def execute(self, path, order, boot):
        with self.condition:
            if self.boot != boot:
                return None
            if order.get("fence", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = order.get("fence", 0)
            handler = {"/api/hold": self.hold, "/api/run-start": self.start_run, "/api/run-stop": self.stop_run}.get(path)
            answer = handler(order) if handler else (404, {})
            return answer if self.boot == boot else None


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.executor.connections.add(self.connection)

    def finish(self):
        self.executor.connections.discard(self.connection)
        try:
            super().finish()
        except (OSError, ValueError):
            pass

    def handle(self):
        try:
            super().handle()
        except (OSError, ValueError):
            pass

    def respond(self, status, body):
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def do_GET(self):
        self.respond(200, {})

    def do_POST(self):
        executor = self.executor
        order = json.loads(self.rfile.read(int(self.headers["content-length"])))
        if self.headers["expect-instance"] not in (None, executor.identity):
            status, body = 421, {}
        else:
            answer = executor.execute(self.path, order, self.boot)
            if answer is None:
                self.close_connection = True
                return
            status, body = answer
        self.respond(status, {**body, "clock_ms": executor.clock(), "born": executor.born})

    def log_message(self, *arguments):
        pass
