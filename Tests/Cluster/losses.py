#!/usr/bin/env python3
"""Runs groups of real processes with ledger replicas that lose as many disks as they have to tolerate: right after a planned replacement,
and while other hosts are down. The document must be readable and writable when all hosts are back."""

import os
import shutil
import signal
import sys
import tempfile
import time

from executors import call
from run import WAIT_LIMIT_SECONDS, Member, document, wait_until


# Longer than the time after which a voter may be removed for its silence.
SILENCE_SECONDS = 3


class LedgerMember(Member):
    """A host with a ledger replica that serves its metrics."""

    def write_settings(self, first_start):
        super().write_settings(first_start)
        with open(self.settings_path, "a") as file:
            file.write(f'metricsAddress: "{self.address}:7505"\n')

    def metrics(self):
        lines = call(f"{self.address}:7505", "GET", "/metrics", timeout=1)[1].splitlines()
        return dict(line.split() for line in lines if line.startswith("sassafrasshift_ledger_"))


class Group:
    """Hosts with a replica each, the first three of which are the seeds."""

    def __init__(self, folder, network, count, tolerated_disk_losses):
        self.folder, self.network, self.tolerated_disk_losses = folder, network, tolerated_disk_losses
        self.members = []
        for _ in range(count):
            self.add()

    def add(self):
        address = f"{self.network}.{len(self.members) + 1}"
        seeds = [f"{self.network}.{number}" for number in (1, 2, 3)]
        self.members.append(LedgerMember(self.folder, address, True, seeds, self.tolerated_disk_losses))
        return self.members[-1]

    def has_logged(self, *texts):
        """Whether a line of some member has all texts."""
        for member in self.members:
            if not os.path.exists(member.log_path):
                continue
            with open(member.log_path) as log:
                if any(all(text in line for text in texts) for line in log):
                    return True
        return False

    def wait_for_change(self, kind, member, voters):
        """Waits until a leader has proposed a change of the membership that concerns a member, or any if it is None."""
        texts = ["ledger-membership-changed", f'"kind": "{kind}"', f'"voters": "{voters}"'] + ([f'"host": "{member.address}:7501"'] if member else [])
        wait_until(lambda: self.has_logged(*texts), f"{texts} is logged")

    def leader_metrics(self):
        """The metrics of the member that leads; empty if none does."""
        for member in self.members:
            metrics = member.metrics() if member.process and member.process.poll() is None else {}
            if metrics.get("sassafrasshift_ledger_leads") == "1":
                return metrics
        return {}

    def check_that_voters_are_kept(self, voters):
        """Waits until the leader can lose no other voter, and checks that it removes none of the silent ones."""
        wait_until(lambda: self.leader_metrics().get("sassafrasshift_ledger_tolerable_losses") == "0", "the leader can lose no other voter")
        end = time.monotonic() + SILENCE_SECONDS
        while time.monotonic() < end:
            seen = self.leader_metrics().get("sassafrasshift_ledger_voters", str(voters))
            assert seen == str(voters), f"the leader has {seen} voters, not {voters}"
            time.sleep(0.1)

    def publish(self, version):
        """Publishes a document through any member."""
        running = [member for member in self.members if member.process and member.process.poll() is None]
        wait_until(lambda: any(call(f"{member.address}:7503", "PUT", "/api/config", document(version), timeout=2)[0] == 200 for member in running), f"version {version} is accepted")

    def close(self):
        for member in self.members:
            if member.process and member.process.poll() is None:
                kill(member)


def kill(member):
    member.process.kill()
    member.process.wait()


def lose_disk(member):
    kill(member)
    shutil.rmtree(member.data_folder)


def replace_one_and_lose_a_disk(folder):
    group = Group(folder, "127.0.34", 3, 1)
    try:
        for member in group.members:
            member.start(first_start=True)
        group.publish(1)
        first, unlucky, replaced = group.members
        successor = group.add()
        successor.start()
        group.wait_for_change("promotion", successor, 4)
        replaced.process.send_signal(signal.SIGTERM)
        assert replaced.process.wait(WAIT_LIMIT_SECONDS) == 0, "the replaced host did not exit with status 0 after SIGTERM"
        assert group.has_logged("ledger-membership-changed", '"kind": "leave"', f'"host": "{replaced.address}:7501"'), "the replica did not leave before its process ended"
        group.publish(2)
        lose_disk(unlucky)
        unlucky.start()
        group.publish(3)
    finally:
        group.close()


def lose_two_disks_while_two_hosts_are_down(folder):
    group = Group(folder, "127.0.35", 6, 2)
    try:
        for member in group.members:
            member.start(first_start=True)
        group.publish(1)
        group.wait_for_change("promotion", None, 6)
        dark, unlucky = group.members[4:], group.members[:2]
        for member in dark:
            kill(member)
        group.check_that_voters_are_kept(6)
        group.publish(2)
        for member in unlucky:
            lose_disk(member)
        for member in dark + unlucky:
            member.start()
        group.publish(3)
    finally:
        group.close()


def main():
    for scenario in (replace_one_and_lose_a_disk, lose_two_disks_while_two_hosts_are_down):
        folder = tempfile.mkdtemp(prefix="sassafrasshift-losses-")
        print(f"{scenario.__name__}, logs in {folder}", flush=True)
        scenario(folder)
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
