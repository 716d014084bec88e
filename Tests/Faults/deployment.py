"""Starts and stops the processes of a deployment on loopback. All connections between the hosts pass through a relay."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

from relay import Relay

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(ROOT, "build", "bin")

# Name, failure domain, address, and whether the host is a replica of the ledger.
HOSTS = [
    ("katutura-1", "katutura", "127.0.1.1", True),
    ("katutura-2", "katutura", "127.0.1.9", False),
    ("windhoek-west-1", "windhoek-west", "127.0.2.1", True),
    ("khomasdal-1", "khomasdal", "127.0.3.1", True),
]
DOMAINS = ["katutura", "windhoek-west", "khomasdal"]
REPLICAS = [name for name, _, _, replica in HOSTS if replica]


def wait_until(condition, description, timeout=20):
    """Waits until a condition holds, for at most `timeout` seconds. A condition that raises a network or parsing error, as
    while a host starts, does not hold yet."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError, urllib.error.URLError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out waiting until " + description)


class Deployment:
    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="sassafrasshift-faults-")
        self.processes = {}
        self.relay = Relay()
        self.addresses = {name: address for name, _, address, _ in HOSTS}
        for i, (name, _, _, _) in enumerate(HOSTS):
            for j, (other, _, address, _) in enumerate(HOSTS):
                if i != j:
                    self.relay.add_link((name, other), (f"127.0.{100 + i}.{1 + j}", 9101), (address, 9101))
            self.write_settings(i, name)

    def write_settings(self, i, name):
        # Host i reaches host j through the relay at 127.0.(100 + i).(1 + j).
        lines = [f"host: {name}", f"timeLineFile: {self.folder}/{name}.jsonl", "shutdownTimeout: 20s", "hosts:"]
        for j, (other, domain, address, replica) in enumerate(HOSTS):
            peer = address if i == j else f"127.0.{100 + i}.{1 + j}"
            lines.append(f"  - {{ name: {other}, failureDomain: {domain}, peerAddress: '{peer}:9101', callerAddress: '{address}:8101', replica: {str(replica).lower()} }}")
            if i == j and replica:
                lines.insert(1, f"dataFolder: {self.folder}/{name}")
        with open(f"{self.folder}/{name}.yaml", "w") as file:
            file.write("\n".join(lines) + "\n")

    def spawn(self, name, *arguments):
        log = open(f"{self.folder}/{name}.log", "a")
        self.processes[name] = subprocess.Popen(arguments, stderr=log, stdout=log, cwd=self.folder)

    def start_host(self, name):
        self.spawn(name, f"{BIN}/sassafrasshiftd", "--settings", f"{self.folder}/{name}.yaml")

    def entries_of(self, names):
        return ",".join(self.addresses[name] + ":8101" for name in names)

    @property
    def entries(self):
        return self.entries_of([name for name, _, _, _ in HOSTS])

    def start_targets(self, kind, index):
        domain = DOMAINS[index]
        local_entries = self.entries_of([name for name, host_domain, _, _ in HOSTS if host_domain == domain])
        capacity_options = ["--worker", "--capacity", "16"] if kind == "workers" else ["--capacity", "8"]
        self.spawn(f"{kind}-{domain}", f"{BIN}/stand-in-target", "--identity", f"{kind}-{domain}", "--failure-domain", domain, "--pool", f"rota-{kind}",
                   "--address", f"127.0.{index + 1}.{3 if kind == 'workers' else 2}", "--port", "11000" if kind == "workers" else "10000",
                   "--entries", local_entries, "--count", "4", "--slowness", "1,1.5,2,3", "--time-line", f"{self.folder}/{kind}-{domain}.jsonl", *capacity_options)

    def start(self):
        for name, _, _, _ in HOSTS:
            self.start_host(name)
        for index in range(len(DOMAINS)):
            self.start_targets("executors", index)
            self.start_targets("workers", index)
        wait_until(lambda: self.leader(), "a leader is elected")
        self.publish()
        for name, _, _, _ in HOSTS:
            wait_until(lambda: len(self.get(name, "/v1/targets")) == 8, f"{name} knows all eight targets")

    def get(self, name, path, timeout=2):
        with urllib.request.urlopen(f"http://{self.addresses[name]}:8101{path}", timeout=timeout) as response:
            return json.load(response)

    def status(self, name):
        return self.get(name, "/v1/status")

    def leader(self, among=None):
        """Returns the established leader among the given hosts (by default, the replicas), or None."""
        for name in among or REPLICAS:
            try:
                if self.status(name)["ledger"].get("leads"):
                    return name
            except OSError:
                pass
        return None

    def followers(self):
        leader = self.leader()
        return [name for name in REPLICAS if name != leader]

    def object_files(self):
        folder = f"{ROOT}/Base/examples/objects"
        return [f"{folder}/{name}" for name in sorted(os.listdir(folder))]

    def run_command(self, *arguments, check=True, entries=None):
        result = subprocess.run([f"{BIN}/sassafrasshift", arguments[0], "--entry", entries or self.entries, *arguments[1:]], capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise AssertionError(f"{arguments}: exit code {result.returncode}: {result.stderr}")
        return result

    def publish(self, **options):
        return self.run_command("publish", "--author", "faults", "--wait", "--output", "json", *self.object_files(), **options)

    def put_configuration(self, name, base_version, change_id, author="faults", timeout=8):
        """Publishes the configuration through one host. Returns the HTTP status and the decoded body of the response."""
        files = [{"name": os.path.basename(path), "text": open(path).read()} for path in self.object_files()]
        body = json.dumps({"baseVersion": base_version, "changeId": change_id, "author": author, "files": files}).encode()
        request = urllib.request.Request(f"http://{self.addresses[name]}:8101/v1/configuration", data=body, method="PUT")
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)

    def start_load(self, name="load", duration="5s", entries=None, rate_factor="1"):
        self.spawn(name, f"{BIN}/sassafrasshift", "load", "--entry", entries or self.entries, "--duration", duration, "--rate-factor", rate_factor, "--output", "json",
                   "--time-line", f"{self.folder}/{name}.jsonl", "--json", f"{self.folder}/{name}.json", f"{ROOT}/Tests/Faults/profile.yaml")
        self.wait_for_answers(50, name)

    def count_answers(self, name="load"):
        with open(f"{self.folder}/{name}.jsonl") as file:
            return sum('"client-answered"' in line for line in file)

    def wait_for_answers(self, count, name="load"):
        """Waits until `count` more answers are recorded, or the load generator has exited."""
        try:
            before = self.count_answers(name)
        except OSError:
            before = 0
        wait_until(lambda: self.count_answers(name) >= before + count or self.processes[name].poll() is not None, f"{count} more answers")

    def finish_load(self, name="load"):
        if self.processes.pop(name).wait(90) != 0:
            raise AssertionError("the load generator failed, or received an answer with wrong content")
        with open(f"{self.folder}/{name}.json") as file:
            return json.load(file)

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def send_signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def links_of(self, name):
        return [link for link in self.relay.links if name in link]

    def stop(self):
        hosts = [name for name, _, _, _ in HOSTS if name in self.processes]
        for name in hosts:
            self.send_signal(name, signal.SIGTERM)
        exit_codes = {name: self.processes.pop(name).wait(40) for name in hosts}
        for name in list(self.processes):
            self.send_signal(name, signal.SIGTERM)
        for name in list(self.processes):
            self.processes.pop(name).wait(40)
        return exit_codes

    def kill_all(self):
        for name in list(self.processes):
            self.send_signal(name, signal.SIGCONT)
            self.kill(name)

    def replay_time_lines(self):
        """Checks the time lines of all processes. Returns the counters, and the violations as text."""
        time_lines = [f"{self.folder}/{name}" for name in sorted(os.listdir(self.folder)) if name.endswith(".jsonl")]
        result = subprocess.run([f"{BIN}/sassafrasshift", "replay", *time_lines], capture_output=True, text=True, timeout=120)
        if not result.stdout:
            raise AssertionError(result.stderr)
        return json.loads(result.stdout), result.stderr
