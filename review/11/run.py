"""One client hands in one small job with very many tiny tasks, and sends it again while it gets no answer. The stand-in for the platform looks at each front once a
second, as the balancer does."""

import json
import os
import secrets
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(os.path.dirname(HERE), "standins-3")
sys.path.insert(0, STANDINS)

from client import NO_ANSWER, call, configuration, job, publish, submit, wait_until
from deployment import CannotRun, Deployment, Record

TASKS = 60_000
# The balancer takes a front out of rotation after two misses.
HANGING_MISSES = 5
WATCH_SECONDS = 45
PATIENCE_MS = 1500  # the time limit on the sheet
RETRANSMIT_SECONDS = 1.3
SENDS = 4


class Balancer:
    """Looks at one front once a second, and counts the looks in a row without an answer in a second."""

    def __init__(self, record, deployment, front):
        self.record, self.address, self.front = record, deployment.ready_address(front), front
        self.misses, self.most_misses, self.stopping = 0, 0, False
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        due = time.monotonic()
        while not self.stopping:
            status, _ = call(self.address, "GET", "/api/ready", timeout=1)
            self.misses = self.misses + 1 if status == NO_ANSWER else 0
            if self.misses:
                self.record.write(f"{self.front.name} does not answer at its ready address, look {self.misses} in a row")
            self.most_misses = max(self.most_misses, self.misses)
            due = max(due + 1, time.monotonic())
            time.sleep(max(0, due - time.monotonic()))


def tiny_tasks(count):
    """A job of tasks that need a thousandth of a core each, and no memory that counts."""
    return {"spec": "run 60 ms", "best_effort": True, "steps": [{"count": count, "cpu": 1, "estimate_ms": 60}]}


def main():
    trouble = os.environ.get("TROUBLE") != "0"
    record = Record(__file__)
    deployment = Deployment(record, fronts=3)
    executors, balancers = None, []
    try:
        deployment.start()
        if not publish(record, deployment.control_addresses(), configuration(7)):
            raise CannotRun("no configuration was confirmed")
        addresses = [f"{deployment.executor_net}.{number + 1}:{deployment.ports['executor']}" for number in range(4)]
        executors = subprocess.Popen([sys.executable, os.path.join(STANDINS, "executors_main.py"), os.path.join(deployment.folder, "executors.txt"), ",".join(deployment.control_addresses()), ",".join(addresses)], stdin=subprocess.PIPE)
        if not wait_until(lambda: all(call(deployment.ready_address(front), "GET", "/api/ready", timeout=1)[0] == 200 for front in deployment.fronts), 20):
            raise CannotRun("not all fronts are ready")
        time.sleep(4)
        if submit(record, deployment.front_address(deployment.fronts[0]), "swap", secrets.token_hex(8), job(60, 2), 1500) != 200:
            raise CannotRun("an ordinary job is not served in calm")
        balancers = [Balancer(record, deployment, front) for front in deployment.fronts]
        time.sleep(2)
        dispatcher = deployment.dispatcher()
        own = next(front for front in deployment.fronts if front is not dispatcher)
        body = tiny_tasks(TASKS if trouble else 20)
        record.write(f"the client's body has {len(json.dumps(body))} bytes")
        identity = secrets.token_hex(8)

        def hand_in():
            """Sends the job, and again after no answer, 502 or 504, at the next front."""
            fronts = [own, *(front for front in deployment.fronts if front is not own)]
            for attempt in range(SENDS):
                status = submit(record, deployment.front_address(fronts[attempt % len(fronts)]), "rota", identity, body, PATIENCE_MS)
                if status not in (NO_ANSWER, 502, 504):
                    return
                time.sleep(RETRANSMIT_SECONDS)

        client = threading.Thread(target=hand_in)
        client.start()
        end = time.monotonic() + WATCH_SECONDS
        served = []

        def hand_jobs_in(front):
            while time.monotonic() < end:
                served.append(submit(record, deployment.front_address(front), "swap", secrets.token_hex(8), job(60, 2), 1500, timeout=3))
                time.sleep(1)

        callers = [threading.Thread(target=hand_jobs_in, args=(front,)) for front in deployment.fronts]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        has_ended = [front.name for front in deployment.fronts if not front.is_running()]
        longest = {balancer.front.name: balancer.most_misses for balancer in balancers}
        record.write(f"ended processes: {has_ended}; the most looks in a row without an answer: {longest}; the dispatcher was {dispatcher.name}")
        record.write(f"ordinary jobs served: {served.count(200)} of {len(served)}, without an answer: {served.count(NO_ANSWER)}")
        is_broken = bool(has_ended) or max(longest.values()) >= HANGING_MISSES
        client.join()
        record.write("BROKEN" if is_broken else "HELD")
        return 1 if is_broken else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        for balancer in balancers:
            balancer.stopping = True
        for balancer in balancers:
            balancer.thread.join()
        if executors:
            executors.stdin.close()
            executors.wait()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
