"""Two core machines have no power for a while. Before they are back, two others lose their disks. Two may be lost at once."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

from case import run_case
from deployment import CannotRun, Deployment, configuration

# As in the sheet of the large installation: six core machines, of which two may be lost at once.
BOUNDS = {"contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 6, "recovery_s": 15}
DARK_S = 9.5
DOWN_S = 1.0


def run(record, trouble):
    deployment = Deployment(record, cores=6, fronts=2, tolerated_machines=2, bounds=BOUNDS)
    bounds = deployment.bounds
    try:
        deployment.start(configuration(1))
        deployment.wait_ready()
        time.sleep(bounds["contact_ms"] / 1000)
        dark, unlucky = deployment.cores[4:], deployment.cores[:2]
        if trouble:
            for machine in dark:
                machine.kill()
            time.sleep(DARK_S)
        if not deployment.publish(configuration(2), limit_s=bounds["ack_ms"] / 1000):
            raise CannotRun("version 2 was not acknowledged while four core machines run")
        if trouble:
            for machine in unlucky:
                machine.kill()
                machine.lose_disk()
            time.sleep(DOWN_S)
            for machine in dark + unlucky:
                machine.start()
        record.write("all machines are back")
        time.sleep(bounds["recovery_s"])
        newest = deployment.read_back(for_s=bounds["contact_ms"] / 1000)
        is_writable = deployment.publish(configuration(3), limit_s=bounds["ack_ms"] / 1000)
        breaks = []
        if newest is None or newest < 2:
            breaks.append(f"version 2 was acknowledged; {bounds['recovery_s']} s after all machines are back, the newest version read in {bounds['contact_ms']} ms is {newest}; another change is acknowledged: {is_writable}")
        return breaks
    finally:
        deployment.close()


run_case(FOLDER, run)
