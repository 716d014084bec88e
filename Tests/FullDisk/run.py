#!/usr/bin/env python3
"""Runs one cluster member whose disk is full at its start, and full again later. A limit on the size of files stands for the
full disk. Usage: run.py [folder of the binaries]"""

import http.client
import json
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
FULL = (0, resource.RLIM_INFINITY)
# A member must answer before its caller tries another host after a second.
LONGEST_ANSWER_S = 1.0
RECOVERY_S = 2.0
WAIT_S = 20.0


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def start_with_full_disk():
    # Refused writes must return an error instead of ending the process.
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, FULL)


class Member:
    def __init__(self, binary, folder):
        peer, self.control = free_port(), free_port()
        settings = f"{folder}/settings.yaml"
        with open(settings, "w") as file:
            file.write(f'host: member\nfailureDomain: north\npeerAddress: "127.0.0.1:{peer}"\n'
                       f'controlAddress: "127.0.0.1:{self.control}"\nseeds: ["127.0.0.1:{peer}"]\n'
                       f'dataFolder: {folder}/data\nfirstStart: true\n')
        self.events = []
        self.process = subprocess.Popen([binary, "--cluster", settings], stdout=subprocess.PIPE, text=True,
                                        preexec_fn=start_with_full_disk)
        threading.Thread(target=self.read_lines, daemon=True).start()

    def read_lines(self):
        for line in self.process.stdout:
            try:
                self.events.append(json.loads(line)["context_map"]["event"])
            except (ValueError, KeyError):
                pass

    def set_limit(self, limit):
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, limit)

    def read_status(self):
        """The status of a read of the configuration, and how long it took."""
        start = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", self.control, timeout=5)
        connection.request("GET", "/api/config")
        status = connection.getresponse().status
        return status, time.monotonic() - start


def wait_for(condition, what, limit=WAIT_S):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise SystemExit(f"not within {limit} s: {what}")


def check_refused(member):
    status, took = member.read_status()
    if status != 503 or took > LONGEST_ANSWER_S:
        raise SystemExit(f"a read on a full disk got {status} after {took:.3f} s")


def run(binary, folder):
    member = Member(binary, folder)
    try:
        wait_for(lambda: "storage-full" in member.events, "storage-full at the start")
        wait_for(lambda: "host-started" in member.events, "the member has started")
        check_refused(member)
        member.set_limit(UNLIMITED)
        wait_for(lambda: "ledger-started" in member.events, "the replica has started")
        # 404: no configuration has been published, which a quorum has confirmed.
        wait_for(lambda: member.read_status()[0] == 404, "a read is answered", RECOVERY_S)
        member.set_limit(FULL)
        check_refused(member)
        wait_for(lambda: member.events.count("storage-full") == 2, "storage-full while it runs")
        check_refused(member)
        member.set_limit(UNLIMITED)
        wait_for(lambda: member.read_status()[0] == 404, "a read is answered again", RECOVERY_S)
        if member.process.poll() is not None:
            raise SystemExit(f"the process ended with code {member.process.returncode}")
    finally:
        member.process.kill()
        member.process.wait()


def main():
    binaries = sys.argv[1] if len(sys.argv) > 1 else "build/bin"
    folder = tempfile.mkdtemp(prefix="sassafrasshift-full-disk-")
    try:
        run(f"{binaries}/sassafrasshiftd", folder)
    finally:
        shutil.rmtree(folder)
    print("a member that is started and run with a full disk goes on once there is room")


if __name__ == "__main__":
    main()
