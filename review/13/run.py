"""An executor crashes while it is cut off from control, and starts again under its id and address, as another kind. Jobs that may run
on executors of the former kind only are handed in all the while."""

import os
import secrets
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from client import call, configuration, job, publish, submit, wait_until
from deployment import CannotRun, Deployment, Record
from executor import Executor, Observer

CUT_SECONDS = 5.0  # for_s of the kind; its share is 0.2, which is one of five executors
DOWN_SECONDS = 0.5
# The dispatcher has been told of the new boot by its answer to a hold order. Starts within this time after it are left out.
NOTICE_SECONDS = 1.0
CALLERS = 6


def main():
    trouble = os.environ.get("TROUBLE") != "0"
    record = Record(__file__)
    deployment = Deployment(record, fronts=3)
    executors = []
    try:
        deployment.start()
        if not publish(record, deployment.control_addresses(), configuration(7)):
            raise CannotRun("no configuration was confirmed")
        observer = Observer(record)
        for number, kind in enumerate("aabbb"):
            address = f"{deployment.executor_net}.{number + 1}:{deployment.ports['executor']}"
            executors.append(Executor(observer, f"i-{number}", address, deployment.control_addresses(), "desk", "zone-a", [kind, "r1-1"]))
            executors[-1].start()
        if not wait_until(lambda: all(call(deployment.ready_address(front), "GET", "/api/ready", timeout=1)[0] == 200 for front in deployment.fronts), 20):
            raise CannotRun("not all fronts are ready")
        time.sleep(4)
        stopping, statuses = threading.Event(), []

        def hand_jobs_in(number):
            while not stopping.is_set():
                body = job(60, 2, required_label="a")
                statuses.append(submit(record, deployment.front_address(deployment.fronts[number % 3]), "swap", secrets.token_hex(8), body, 1500, timeout=3))
                time.sleep(0.1)

        callers = [threading.Thread(target=hand_jobs_in, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(3)
        changed = executors[1]
        if trouble:
            record.write("i-1 is cut off from control; it crashes, and starts again as kind b")
            changed.cut_from_control = True
            changed.labels = ["b", "r1-1"]
            changed.crash_and_restart(DOWN_SECONDS)
        time.sleep(CUT_SECONDS)
        changed.cut_from_control = False
        record.write("the cut of i-1 has healed")
        time.sleep(4)
        stopping.set()
        for caller in callers:
            caller.join()
        if statuses.count(200) < len(statuses) / 4:
            raise CannotRun("most jobs are not served")
        # All jobs require the label "a". The executors i-2 to i-4, and i-1 from its second boot on, do not have it.
        wrong = [start for start in observer.starts if start[1] in ("i-2", "i-3", "i-4") or start[1:3] == ("i-1", 2)]
        told_at = observer.listed.get(("i-1", 2))
        after_notice = [start for start in wrong if start[1] != "i-1" or (told_at is not None and start[0] > told_at + NOTICE_SECONDS)]
        record.write(f"starts: {len(observer.starts)}, without the label: {len(wrong)}, of these over {NOTICE_SECONDS} s after the new boot had answered a hold order: {len(after_notice)}")
        record.write("BROKEN" if after_notice else "HELD")
        return 1 if after_notice else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        for executor in executors:
            executor.stop()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
