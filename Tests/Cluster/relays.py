#!/usr/bin/env python3
"""Runs a cluster of real processes whose dispatcher sends its orders through relays. Relays are killed, paused and shut down, and the
dispatcher is killed; afterwards the responses to callers and the runs on the executors are checked."""

import json
import shutil
import signal
import sys
import tempfile
import time

import run
from executors import Executor, RunLog, call

CORE_ADDRESS = "127.0.41.1"
run.CORE_ADDRESSES = [CORE_ADDRESS]
run.ENTRY_ADDRESSES = [f"127.0.42.{i}" for i in range(1, 5)]
run.CONTROL_ADDRESSES = [f"{CORE_ADDRESS}:7503"]
# A dispatcher uses relays from 31 targets on: two for this number.
EXECUTOR_ADDRESSES = [f"127.0.43.{i}:7600" for i in range(1, 35)]


class Member(run.Member):
    def write_settings(self, first_start):
        super().write_settings(first_start)
        if not self.is_core:
            with open(self.settings_path, "a") as file:
                file.write("metricsAddress: \"%s:7505\"\norderRelayCores: 0.75\n" % self.address)

    def metric(self, name):
        """The value of a counter; 0 if the member does not answer or has not counted anything."""
        for line in call(f"{self.address}:7505", "GET", "/metrics", timeout=1)[1].splitlines():
            if line.startswith(f"sassafrasshift_{name} "):
                return float(line.split()[1])
        return 0


def find_relays(entries):
    """The members that the dispatcher's last change of relays names."""
    relays = []
    with open(run.wait_for_dispatcher(entries).log_path) as log:
        for line in log:
            if "order-relays-changed" in line:
                relays = json.loads(line)["context_map"]["relays"].split()
    return [entry for entry in entries if f"{entry.address}:7501" in relays]


def wait_for_relays(entries, excluded=None):
    run.wait_until(lambda: len(find_relays(entries)) == 2 and excluded not in find_relays(entries), "the dispatcher has two relays")
    return find_relays(entries)


def wait_for_relayed_starts(load, entries, after):
    """Jobs are served after a failure, and orders go through both present relays."""
    load.wait_for_more(50, after)
    before = {relay.name: relay.metric("relay_orders_total") for relay in wait_for_relays(entries)}
    load.wait_for_more(50, after)
    run.wait_until(lambda: all(relay.metric("relay_orders_total") > before.get(relay.name, 0) for relay in wait_for_relays(entries)), f"all relays get orders after {after}")


def run_scenario(folder):
    members = [Member(folder, CORE_ADDRESS, True, run.CORE_ADDRESSES, 0)] + [Member(folder, address, False, run.CORE_ADDRESSES, 0) for address in run.ENTRY_ADDRESSES]
    entries = members[1:]
    run_log = RunLog()
    load, executors = None, []
    try:
        for member in members:
            member.start(first_start=True)
        run.wait_until(lambda: call(run.CONTROL_ADDRESSES[0], "PUT", "/api/config", run.document(1), timeout=2)[0] == 200, "a configuration is accepted")
        executors = [Executor(run_log, f"i-{i}", address, run.CONTROL_ADDRESSES) for i, address in enumerate(EXECUTOR_ADDRESSES)]
        run.wait_until(lambda: all(entry.is_ready() for entry in entries), "all entries are ready")
        wait_for_relays(entries)
        load = run.Load(seed=3, callers=18)
        wait_for_relayed_starts(load, entries, "the start")

        victim = find_relays(entries)[0]
        victim.process.kill()
        victim.process.wait()
        wait_for_relays(entries, excluded=victim)
        wait_for_relayed_starts(load, entries, "a relay was killed")
        victim.start()
        run.wait_until(victim.is_ready, "the killed relay is ready again")

        victim = find_relays(entries)[0]
        victim.process.send_signal(signal.SIGSTOP)
        wait_for_relays(entries, excluded=victim)
        time.sleep(0.5)  # Part of the length of the pause, so that orders in the paused process become late.
        victim.process.send_signal(signal.SIGCONT)
        wait_for_relayed_starts(load, entries, "a relay was paused")

        cut_off = load.cut_off()
        victim = find_relays(entries)[0]
        victim.process.send_signal(signal.SIGTERM)
        wait_for_relays(entries, excluded=victim)
        assert victim.process.wait(run.WAIT_LIMIT_SECONDS) == 0, "the relay did not exit with status 0 after SIGTERM"
        wait_for_relayed_starts(load, entries, "a relay was shut down")
        if load.cut_off() > cut_off:
            run_log.faults.append("a graceful shutdown interrupted requests")
        victim.start()
        run.wait_until(victim.is_ready, "the shut down relay is ready again")

        victim = run.wait_for_dispatcher(entries)
        victim.process.kill()
        victim.process.wait()
        wait_for_relayed_starts(load, entries, "the dispatcher was killed")
        load.stop()
        return run.find_faults(run_log, load), load
    finally:
        if load:
            load.stop()
        for executor in executors:
            executor.close()
        for member in members:
            if member.process and member.process.poll() is None:
                member.process.kill()
                member.process.wait()


def main():
    folder = tempfile.mkdtemp(prefix="sassafrasshift-relays-")
    print(f"the logs are in {folder}", file=sys.stderr)
    faults, load = run_scenario(folder)
    counts = {}
    for status in load.statuses.values():
        counts[status] = counts.get(status, 0) + 1
    print(json.dumps({"jobs": len(load.statuses), "answers": {str(status): count for status, count in sorted(counts.items())}, "faults": faults}))
    if faults:
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
