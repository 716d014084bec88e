#!/usr/bin/env python3
"""Runs one cluster member with lowered limits and one simulated executor, and attacks it with one pattern of hostile clients. The
process must stay alive and within its memory and descriptors, finish the job that was submitted before the attack, and answer an
ordinary request on each port while the hostile connections stay open.
Usage: run.py PATTERN"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Cluster"))

from executors import TASK_CPU, Executor, RunLog, call  # noqa: E402
from patterns import HOST, PATTERNS  # noqa: E402

PROGRAM = os.path.join(ROOT, "build", "bin", "sassafrasshiftd")
ADDRESS = HOST
EXECUTOR_ADDRESS = "127.0.52.1:7900"
MEMORY_LIMIT = 80_000_000
DESCRIPTOR_LIMIT = 400
WAIT_LIMIT_SECONDS = 30
BODY_LIMIT = 262_144


def wait_until(condition, description):
    end = time.monotonic() + WAIT_LIMIT_SECONDS
    while not condition():
        if time.monotonic() >= end:
            raise AssertionError(f"timed out after {WAIT_LIMIT_SECONDS} s waiting until {description}")
        time.sleep(0.02)


def socket_memory():
    """The bytes in the kernel's queues of all sockets at the address of the process, which a host counts as memory of the process."""
    own = "".join(f"{int(part):02X}" for part in reversed(ADDRESS.split("."))) + ":"
    total = 0
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1].startswith(own) and fields[3] != "0A":  # 0A: listening
                total += sum(int(size, 16) for size in fields[4].split(":"))
    return total


class Member:
    def __init__(self, folder):
        self.log_path = os.path.join(folder, "member.log")
        settings = os.path.join(folder, "member.yaml")
        with open(settings, "w") as file:
            file.write(f'''host: member
failureDomain: north
peerAddress: "{ADDRESS}:7801"
jobsAddress: "{ADDRESS}:7802"
controlAddress: "{ADDRESS}:7803"
readinessAddress: "{ADDRESS}:7804"
metricsAddress: "{ADDRESS}:7805"
seeds: ["{ADDRESS}:7801"]
dataFolder: {folder}/data
firstStart: true
toleratedDiskLosses: 0
dispatchCores: 0.5
memoryLimit: {MEMORY_LIMIT}B
descriptorLimit: {DESCRIPTOR_LIMIT}
''')
        os.makedirs(os.path.join(folder, "data"))
        self.most_descriptors, self.most_memory = 0, 0
        with open(self.log_path, "w") as log:
            self.process = subprocess.Popen([PROGRAM, "--cluster", settings], stdout=log, stderr=log)

    def observe(self):
        """Updates the maxima; called again and again during an attack."""
        assert self.process.poll() is None, f"the process ended with status {self.process.poll()}"
        with open(f"/proc/{self.process.pid}/status") as status:
            memory = next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmRSS"))
        self.most_memory = max(self.most_memory, memory + socket_memory())
        self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))

    def peak_memory(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            peak = next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM"))
        return max(peak, self.most_memory)


def submit(name, count, spec="text"):
    body = {"spec": spec, "best_effort": True, "steps": [{"count": count, "cpu": TASK_CPU, "estimate_ms": 400}]}
    return call(f"{ADDRESS}:7802", "POST", f"/q/{name}", body, {"host": "rota.example", "deadline-ms": "50000"}, timeout=50)[0]


def document():
    return {"version": 1, "services": [{"name": "pool"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": BODY_LIMIT, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "routes": [{"name": "queue", "host": "rota.example", "path_prefix": "/q/", "timeout_ms": 50000, "service": "pool", "priority": 0, "max_attempts": 3, "stretch": 20, "target_latency_ms": 20000}]}


def attack(pattern, member, executor):
    """Runs the attack and the checks that need the hostile connections open. Returns the faults."""
    before, faults = [], []
    caller = threading.Thread(target=lambda: before.append(submit("before", 8)))
    caller.start()
    wait_until(lambda: call(f"{ADDRESS}:7802", "GET", "/q/before", headers={"host": "rota.example"})[0] == 200, "the job is open")
    connections = PATTERNS[pattern](member.observe, executor)
    try:
        requests = {"jobs": lambda: submit("after", 1), "readiness": lambda: call(f"{ADDRESS}:7804", "GET", "/api/ready")[0],
                    "control": lambda: call(f"{ADDRESS}:7803", "GET", "/api/config")[0], "metrics": lambda: call(f"{ADDRESS}:7805", "GET", "/metrics")[0]}
        for port, request in requests.items():
            statuses = []
            try:
                wait_until(lambda: statuses.append(request()) or statuses[-1] == 200, f"a request is served on the port for {port}")
            except AssertionError as fault:
                faults.append(f"{fault}; the statuses were {sorted(set(statuses))}, {len(statuses)} in all")
        caller.join()
        member.observe()
    finally:
        for connection in connections:
            connection.close()
    if before != [200]:
        faults.append(f"the job that was submitted before the attack ended with {before}")
    return faults


def run(pattern, folder):
    member, executor = Member(folder), None
    try:
        wait_until(lambda: member.observe() or call(f"{ADDRESS}:7803", "PUT", "/api/config", document(), timeout=2)[0] == 200, "a configuration is accepted")
        executor = Executor(RunLog(), "i-1", EXECUTOR_ADDRESS, [f"{ADDRESS}:7803"])
        wait_until(lambda: call(f"{ADDRESS}:7804", "GET", "/api/ready", timeout=1)[0] == 200, "the member is ready")
        wait_until(lambda: submit("first", 1) == 200, "a job is served")
        wait_until(lambda: submit("largest", 1, "x" * (BODY_LIMIT - 300)) == 200, "a job of the largest size is served")
        faults = attack(pattern, member, executor)
        memory = member.peak_memory()
        if memory > MEMORY_LIMIT:
            faults.append("the memory exceeds its limit")
        if member.most_descriptors > DESCRIPTOR_LIMIT:
            faults.append("the number of descriptors exceeds its limit")
        faults += executor.run_log.faults
        print(json.dumps({"pattern": pattern, "memory": memory, "descriptors": member.most_descriptors, "faults": faults}))
        return faults
    finally:
        if executor:
            executor.close()
        member.process.kill()
        member.process.wait()


def main():
    folder = tempfile.mkdtemp(prefix="sassafrasshift-hostile-")
    try:
        faults = run(sys.argv[1], folder)
    except AssertionError as fault:
        faults = [str(fault)]
        print(json.dumps({"pattern": sys.argv[1], "faults": faults}))
    if faults:
        print(f"the log is in {folder}", file=sys.stderr)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
