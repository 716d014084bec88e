"""A small deployment of the project's own program on loopback addresses: core and front machines with settings that are rendered
from the template of the deploy file, and the platform's part: start, signals, restart, and loss of a disk."""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
INTERNAL_PORTS = [7720, 7735]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8161, 8167, 8166
# The bounds of a small deployment, from the sheets.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
          "hold_max_ms": 1000, "stop_ms": 50, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
          "finish_s": 14, "status_s": 120, "far_factor": 3, "checkpoint_s": 2, "restore_ms": 600, "notice_ms": 4500,
          "fencing_required": True, "lease_ms": 3000, "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000, "retransmit_ms": 1300}


class CannotRun(Exception):
    """The case could not run: it shows nothing."""


def lookup(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(to_text, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes):
    """Fills in a settings template with the placeholders and sections that the pages describe."""
    output, position = "", 0
    for match in iter(lambda: re.compile(r"\{\{([#^]?)([^{}/]+)\}\}\n?").search(text, position), None):
        kind, name = match.group(1), match.group(2)
        if not kind:
            output += text[position:match.start()] + to_text(lookup(name, scopes)) + text[match.start() + len(name) + 4:match.end()]
            position = match.end()
            continue
        closing = re.compile(r"\{\{/" + re.escape(name) + r"\}\}\n?").search(text, match.end())
        inner, value = text[match.end():closing.start()], lookup(name, scopes)
        output += text[position:match.start()]
        position = closing.end()
        if kind == "^":
            output += "" if value else render(inner, scopes)
        elif isinstance(value, list):
            output += "".join(render(inner, scopes + [entry]) for entry in value)
        elif value:
            output += render(inner, scopes + [value])
    return output + text[position:]


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns the status, or None if no complete answer came, and the body of the answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return None, ""
    finally:
        connection.close()


def wait_until(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f"timed out after {limit_s} s waiting until {what}")


class Record:
    """Writes what is sent, answered and run to a file, with the time since the start."""

    def __init__(self, path):
        self.file, self.lock, self.started_at = open(path, "w"), threading.Lock(), time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Machine:
    """One machine, with the one process of its role."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment, self.name, self.role, self.ip, self.zone = deployment, name, role, ip, zone
        self.process = None
        self.folder = os.path.join(deployment.folder, name)
        self.disk = os.path.join(self.folder, "disk")
        os.makedirs(self.disk if role == "core" else self.folder)

    @property
    def front(self):
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def control(self):
        return f"{self.ip}:{CONTROL_PORT}"

    def settings(self, bootstrap):
        is_core = self.role == "core"
        listen = {"control": self.control} if is_core else {"front": self.front, "ready": f"{self.ip}:{READY_PORT}"}
        limits = {"cpu_share": 0.5, "cores": 1, "memory_mb": 256, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128} if is_core \
            else {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
        return {"node": self.name, "role": self.role, "machine_class": self.role, "serves": ["control" if is_core else "front"],
                "ip": self.ip, "zone": self.zone, "region": "region", "zones": {zone: "region" for zone in ZONES}, "listen": listen,
                "internal_ports": INTERNAL_PORTS, "seeds": self.deployment.seeds, "bootstrap": bootstrap, "fault_counted": is_core,
                "limits": limits, "data_dir": self.disk if is_core else None, "discovery": "registry", "entry": "vip", "heartbeat_ms": 1500,
                "fault_tolerance": {"machines": self.deployment.tolerated_machines, "zones": 1, "regions": 0},
                "bounds": self.deployment.bounds, "config_mode": "highest", "orders": "call"}

    def start(self, bootstrap=False):
        role = self.deployment.roles["ledger" if self.role == "core" else "entry"]
        with open(os.path.join(ROOT, role["template"])) as template:
            text = render(template.read(), [self.settings(bootstrap)])
        path = os.path.join(self.folder, "boot.yaml")
        with open(path, "w") as file:
            file.write(text)
        words = role["run"].replace("/etc/sassafrasshift/boot.yaml", path).split()
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8", "SASSAFRASSHIFT_BOOT": path}
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.deployment.record.write(f"platform starts {self.name} bootstrap={bootstrap}")

    def signal(self, number):
        self.deployment.record.write(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self):
        self.deployment.record.write(f"{self.name} loses its disk")
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)

    def is_ready(self):
        return call(f"{self.ip}:{READY_PORT}", "GET", "/api/ready", timeout=1)[0] == 200


def read_roles(path):
    """The texts in the tables [roles.NAME] of a deploy file."""
    roles, current = {}, None
    with open(path) as file:
        for line in file:
            if table := re.match(r"\[roles\.([^]]+)\]", line):
                current = roles.setdefault(table.group(1), {})
            elif current is not None and (entry := re.match(r'(\w+) = "(.*)"', line)):
                current[entry.group(1)] = entry.group(2)
    return roles


def free_network():
    """The first two bytes of loopback addresses that no process of this machine listens on."""
    for number in range(os.getpid(), os.getpid() + 200):
        network = f"127.{100 + number % 100}.{number // 100 % 200}"
        try:
            for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, *INTERNAL_PORTS, 9464, 8080):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Deployment:
    def __init__(self, record, cores=3, fronts=2, tolerated_machines=1, bounds=None):
        self.record, self.tolerated_machines, self.bounds = record, tolerated_machines, {**BOUNDS, **(bounds or {})}
        self.roles = read_roles(os.path.join(ROOT, "deploy", "system.toml"))
        if not os.path.exists(os.path.join(ROOT, self.roles["entry"]["run"].split()[0])):
            raise CannotRun("the program is not built")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = free_network()
        self.ips = iter(f"{self.network}.{number}" for number in range(1, 100))
        self.former = []
        self.cores = [Machine(self, f"core-{i}", "core", next(self.ips), ZONES[i % 4]) for i in range(cores)]
        self.fronts = [Machine(self, f"front-{i}", "front", next(self.ips), ZONES[i % 4]) for i in range(fronts)]
        self.next_server_address = iter(f"{self.network}.{number}:8080" for number in range(100, 250))

    @property
    def machines(self):
        return self.cores + self.fronts

    @property
    def control_addresses(self):
        return [machine.control for machine in self.cores]

    @property
    def seeds(self):
        return self.control_addresses[:3]

    def add_core(self):
        """An empty machine at an address of its own, which replaces another one."""
        number = len(self.cores) + len(self.former)
        machine = Machine(self, f"core-{number}", "core", next(self.ips), ZONES[number % 4])
        self.cores.append(machine)
        return machine

    def start(self, configuration):
        for machine in self.machines:
            machine.start(bootstrap=True)
        wait_until(lambda: self.publish(configuration), 30, "the first configuration is acknowledged")

    def wait_ready(self):
        wait_until(lambda: all(machine.is_ready() for machine in self.fronts), 30, "all fronts are ready")

    def publish(self, configuration, limit_s=0.0):
        """The operator sends a configuration to one node after another until it is acknowledged, or the time has passed."""
        end = time.monotonic() + limit_s
        while True:
            for address in self.control_addresses:
                status, _ = call(address, "PUT", "/api/config", configuration, timeout=1)
                self.record.write(f"operator PUT version {configuration['version']} to {address}: {status}")
                if status == 200:
                    return True
            if time.monotonic() >= end:
                return False
            time.sleep(0.1)

    def remove(self, machine):
        """Planned: SIGTERM, and SIGKILL after the grace period. The machine does not come back."""
        machine.signal(signal.SIGTERM)
        try:
            machine.process.wait(self.bounds["grace_s"])
        except subprocess.TimeoutExpired:
            machine.kill()
        self.record.write(f"{machine.name} has ended and is removed")
        self.cores.remove(machine)
        self.former.append(machine)

    def read_back(self, for_s):
        """The operator reads the configuration from one node after another. Returns the newest version read, or None."""
        newest, end = None, time.monotonic() + for_s
        while time.monotonic() < end:
            for address in self.control_addresses:
                status, text = call(address, "GET", "/api/config", timeout=1)
                version = json.loads(text)["version"] if status == 200 else None
                self.record.write(f"operator GET from {address}: {status} {'version ' + str(version) if version else text[:100]}")
                newest = max(newest or 0, version) if version else newest
            time.sleep(0.2)
        return newest

    def log_lines(self, machine, event):
        with open(os.path.join(machine.folder, "log"), errors="replace") as log:
            return [line for line in log if event in line]

    def close(self):
        for machine in self.machines + self.former:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, timeout_ms=1500, services=("rota",), prefix="/q/", host="rota.example", max_attempts=4):
    return {"version": version,
            "routes": [{"name": f"r-{index}", "host": host, "path_prefix": prefix if index == 0 else f"/q{index}/", "kind": "unsafe", "timeout_ms": timeout_ms,
                        "target_latency_ms": 60, "priority": 0, "service": service, "max_attempts": max_attempts, "stretch": 1.6} for index, service in enumerate(services)],
            "services": [{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "enforces_capacity": False, "standby": False} for service in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
