"""Six core machines, of which two may be lost; one is taken away as planned. Of the five that are left, one has no power for some seconds;
another one is gone for good meanwhile, and is replaced. Before the first is back, two others lose their disks."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from client import call, configuration, publish, wait_until
from deployment import CannotRun, Deployment, Record

# The longest time for single core machines in the site file, and a successor that comes sooner than the 1 s of the kind.
DARK_SECONDS = 7.0
SUCCESSOR_SECONDS = 0.1
CATCH_UP_SECONDS = 6.0
RECOVERY_SECONDS = 15.0
READ_SECONDS = 20.0
GRACE_SECONDS = 6.0


def metric(machine, name):
    """The value of a metric of a machine; None if it can't be read."""
    _, text = call(f"{machine.address}:{machine.deployment.ports['metrics']}", "GET", "/metrics", timeout=1)
    for line in text.splitlines():
        if line.startswith(f"sassafrasshift_{name} "):
            return float(line.split()[1])
    return None


def lose_disk(machine):
    machine.kill()
    shutil.rmtree(machine.data_folder)
    machine.deployment.record.write(f"{machine.name} has lost its disk")


def read_back(record, addresses, seconds):
    """The versions that reads return within the time."""
    versions, statuses = set(), {}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for address in addresses:
            status, text = call(address, "GET", "/api/config", timeout=2)
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                versions.add(json.loads(text)["version"])
        time.sleep(0.2)
    record.write(f"reads of the configuration: statuses {statuses}, versions {sorted(versions)}")
    return versions


def main():
    trouble = os.environ.get("TROUBLE") != "0"
    record = Record(__file__)
    deployment = Deployment(record, fronts=2, cores=7, tolerated_machines=2)
    successor = deployment.cores[6]
    first = deployment.cores[:6]
    try:
        deployment.start(spare=[successor])
        if not publish(record, [f"{core.address}:{deployment.ports['control']}" for core in first], configuration(7)):
            raise CannotRun("no configuration was confirmed")
        leaders = lambda: [core for core in first if metric(core, "ledger_leads") == 1]
        if not wait_until(lambda: any(metric(leader, "ledger_voters") == 6 for leader in leaders()), 20):
            raise CannotRun("the six core machines do not become voters")
        time.sleep(2)
        removed = next(core for core in first[3:] if core not in leaders())
        removed.signal(signal.SIGTERM)
        try:
            removed.process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            raise CannotRun("the machine that is taken away does not end") from None
        record.write(f"{removed.name} has been taken away as planned")
        first = [core for core in first if core is not removed]
        # It stops counting after catch_up_s at the latest.
        time.sleep(CATCH_UP_SECONDS + 0.5)
        if not any(metric(leader, "ledger_voters") == 5 for leader in leaders()):
            raise CannotRun("the machine that was taken away is still a voter")
        leader = leaders()[0]
        others = [core for core in first if core is not leader]
        dark, gone, wiped = others[0], others[1], others[2:]
        record.write(f"the leader is {leader.name}")
        members = first
        if trouble:
            dark.kill()
            dark_at = time.monotonic()
            record.write(f"{dark.name} has no power")
            time.sleep(0.2)
            gone.kill()
            record.write(f"{gone.name} is gone for good")
            time.sleep(SUCCESSOR_SECONDS)
            successor.start()
            members = [core for core in first if core is not gone] + [successor]
            # The machine that is gone stops counting once its successor has had catch_up_s.
            time.sleep(CATCH_UP_SECONDS + 0.2)
        addresses = [f"{core.address}:{deployment.ports['control']}" for core in members]
        running = [f"{core.address}:{deployment.ports['control']}" for core in members if core.is_running()]
        record.write(f"voters before the disks are lost: {metric(leader, 'ledger_voters')}, quorum {metric(leader, 'ledger_quorum')}")
        if not publish(record, running, configuration(9), within_seconds=5):
            raise CannotRun("the second configuration was not confirmed")
        if trouble:
            for core in wiped:
                lose_disk(core)
            time.sleep(max(0, dark_at + DARK_SECONDS - time.monotonic()))
            dark.start()
            time.sleep(0.5)
            for core in wiped:
                core.start()
            time.sleep(RECOVERY_SECONDS)
        versions = read_back(record, addresses, READ_SECONDS)
        record.write(f"voters at the end: { {core.name: metric(core, 'ledger_voters') for core in members} }")
        is_broken = 9 not in versions
        record.write("BROKEN" if is_broken else "HELD")
        return 1 if is_broken else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
