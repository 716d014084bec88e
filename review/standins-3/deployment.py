"""Starts a small deployment of the product on loopback addresses: machines with the commands and the settings template of the deploy
file, each on an address of its own."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the two small installations, in the units of the settings file.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
          "hold_max_ms": 1000, "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "fencing_required": True, "lease_ms": 3000}
FRONT_LIMITS = {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
CORE_LIMITS = {"cpu_share": 0.5, "cores": 1, "memory_mb": 256, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.start = time.monotonic()
        self.file = open(self.path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()


def lookup(stack, name):
    """The value of a dotted name in the innermost table that has its first part."""
    if name == ".":
        return stack[-1][0]
    first, *rest = name.split(".")
    for value, _, _ in reversed(stack):
        if isinstance(value, dict) and first in value:
            found = value[first]
            for part in rest:
                if isinstance(found, dict):
                    found = found.get(part)
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    return None
            return found
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, stack):
    """Fills in a settings template as the infrastructure does. Sections of the same name are not nested."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def fill_section(match):
        kind, name, body = match.groups()
        value = lookup(stack, name)
        is_empty = value is None or value is False or value == [] or value == {}
        if kind == "^":
            return render(body, stack) if is_empty else ""
        if is_empty:
            return ""
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value)) if isinstance(value, list) else [(0, value)]
        return "".join(render(body, [*stack, (entry, key, number == len(entries) - 1)]) for number, (key, entry) in enumerate(entries))

    def fill_value(match):
        name = match.group(1)
        if name == "@":
            return str(stack[-1][1])
        if name == ",":
            return "" if stack[-1][2] else ","
        return text_of(lookup(stack, name))

    return re.sub(r"\{\{([@,.\w]+)\}\}", fill_value, section.sub(fill_section, template))


class Machine:
    """One machine with one process of the product."""

    def __init__(self, deployment, name, role, machine_class, address, zone):
        self.deployment, self.name, self.role, self.machine_class, self.address, self.zone = deployment, name, role, machine_class, address, zone
        self.process = None
        self.starts = 0
        self.log_path = os.path.join(deployment.folder, name + ".log")
        self.settings_path = os.path.join(deployment.folder, name + ".yaml")
        self.data_folder = os.path.join(deployment.folder, name + ".data")

    def settings(self, bootstrap):
        ports = self.deployment.ports
        is_front = self.machine_class == "front"
        listen = {"front": f"{self.address}:{ports['front']}", "ready": f"{self.address}:{ports['ready']}"} if is_front else {"control": f"{self.address}:{ports['control']}"}
        return {"node": self.name, "role": self.role, "machine_class": self.machine_class, "serves": ["front" if is_front else "control"],
                "ip": self.address, "zone": self.zone, "region": "here", "zones": {zone: "here" for zone in self.deployment.zones}, "listen": listen,
                "internal_ports": [ports["peer"], ports["peer"]], "seeds": [f"{core.address}:{ports['control']}" for core in self.deployment.cores[:3]],
                "bootstrap": bootstrap, "fault_counted": not is_front, "limits": self.deployment.front_limits if is_front else CORE_LIMITS,
                "data_dir": None if is_front else self.data_folder, "fault_tolerance": {"machines": self.deployment.tolerated_machines, "zones": 1, "regions": 0}, "bounds": BOUNDS}

    def start(self, bootstrap=False):
        if self.machine_class == "core":
            os.makedirs(self.data_folder, exist_ok=True)
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), [(self.settings(bootstrap), 0, True)])
        # The infrastructure addresses members by their control address; the product's template joins seeds by that address and its own port.
        text = text.replace(":9464", f":{self.deployment.ports['metrics']}")
        with open(self.settings_path, "w") as file:
            file.write(text)
        words = role["run"].split()
        words[0] = os.path.join(ROOT, words[0])
        words[-1] = self.settings_path
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "HOME": self.deployment.folder})
        self.starts += 1
        self.deployment.record.write(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.write(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_megabytes(self):
        """The memory of the process; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1024 * 1024)
        except (OSError, IndexError):
            return 0

    def logged(self, text):
        with open(self.log_path) as log:
            return [line for line in log if text in line]


def free_port_base(addresses):
    """The first of ten ports in a row that are free on all addresses."""
    for base in range(21000 + os.getpid() % 3000 * 10 % 9000, 32000, 10):
        try:
            for address in addresses:
                for port in range(base, base + 10):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


class Deployment:
    """All machines of one deployment, in one zone or several."""

    def __init__(self, record, fronts, cores=3, zones=("zone-a",), tolerated_machines=1, front_limits=None):
        self.record, self.zones, self.tolerated_machines = record, list(zones), tolerated_machines
        self.front_limits = {**FRONT_LIMITS, **(front_limits or {})}
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        program = os.path.join(ROOT, self.roles["entry"]["run"].split()[0])
        if not os.path.exists(program):
            raise CannotRun(f"{self.roles['entry']['run'].split()[0]} is not built")
        net = 60 + os.getpid() % 100
        core_addresses = [f"127.{net}.1.{number}" for number in range(1, cores + 1)]
        front_addresses = [f"127.{net}.2.{number}" for number in range(1, fronts + 1)]
        self.executor_net = f"127.{net}.3"
        base = free_port_base(core_addresses + front_addresses + [f"{self.executor_net}.{number}" for number in range(1, 9)])
        self.ports = {name: base + offset for offset, name in enumerate(("peer", "front", "ready", "control", "metrics", "executor"))}
        zone = lambda number: self.zones[number % len(self.zones)]
        self.cores = [Machine(self, f"core-{number + 1}", "ledger", "core", address, zone(number)) for number, address in enumerate(core_addresses)]
        self.fronts = [Machine(self, f"front-{number + 1}", "entry", "front", address, zone(number)) for number, address in enumerate(front_addresses)]

    def machines(self):
        return self.cores + self.fronts

    def control_addresses(self):
        return [f"{core.address}:{self.ports['control']}" for core in self.cores]

    def front_address(self, machine):
        return f"{machine.address}:{self.ports['front']}"

    def ready_address(self, machine):
        return f"{machine.address}:{self.ports['ready']}"

    def start(self, spare=()):
        for machine in self.machines():
            if machine not in spare:
                machine.start(bootstrap=True)

    def dispatcher(self):
        """The running front that has begun to dispatch last and has not ended it, as its log says; None if there is none."""
        latest = (None, None)
        for machine in self.fronts:
            if not machine.is_running():
                continue
            begun = None
            with open(machine.log_path) as log:
                for line in log:
                    if "dispatch-begun" in line:
                        begun = line[line.index("timestamp"):][:45]
                    elif "dispatch-ended" in line or "host-started" in line:
                        begun = None
            if begun and (latest[0] is None or begun > latest[0]):
                latest = (begun, machine)
        return latest[1]

    def close(self):
        for machine in self.machines():
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            self.record.write(f"logs are kept")
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
