"""A core machine is replaced as planned: the empty successor first, then SIGTERM. Right after that another one loses its disk."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

from case import run_case
from deployment import CannotRun, Deployment, configuration

CATCH_UP_MARGIN_S = 1.0
# The old machine has ended for that long when the disk is lost.
SINCE_REMOVAL_S = 1.0
DOWN_S = 1.0


def run(record, trouble):
    deployment = Deployment(record, cores=3, fronts=2, tolerated_machines=1)
    bounds = deployment.bounds
    try:
        deployment.start(configuration(1))
        deployment.wait_ready()
        time.sleep(bounds["contact_ms"] / 1000)
        old = deployment.cores[2]
        deployment.add_core().start()
        time.sleep(bounds["catch_up_s"] + CATCH_UP_MARGIN_S)
        deployment.remove(old)
        if not deployment.publish(configuration(2), limit_s=bounds["ack_ms"] / 1000):
            raise CannotRun("version 2 was not acknowledged after the replacement")
        time.sleep(SINCE_REMOVAL_S)
        if trouble:
            unlucky = deployment.cores[1]
            unlucky.kill()
            unlucky.lose_disk()
            time.sleep(DOWN_S)
            unlucky.start()
        record.write("all machines are back")
        time.sleep(bounds["recovery_s"])
        newest = deployment.read_back(for_s=3 * bounds["contact_ms"] / 1000)
        is_writable = deployment.publish(configuration(3), limit_s=bounds["ack_ms"] / 1000)
        breaks = []
        if newest is None or newest < 2:
            breaks.append(f"version 2 was acknowledged; {bounds['recovery_s']} s after all machines are back, the newest version read in {3 * bounds['contact_ms']} ms is {newest}; another change is acknowledged: {is_writable}")
        return breaks
    finally:
        deployment.close()


run_case(FOLDER, run)
