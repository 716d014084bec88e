"""A stand-in for the part of the platform that watches the memory of its machines."""

import signal
import threading
import time

RESTART_DELAY_SECONDS = 0.5


class Platform:
    """Ends a process over its memory, and starts ended processes again after a short delay."""

    def __init__(self, deployment):
        self.deployment, self.ends, self.peak, self.stopping = deployment, {}, {}, False
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        restart_at = {}
        while not self.stopping:
            for machine in self.deployment.fronts:
                if machine.name in restart_at:
                    if time.monotonic() >= restart_at[machine.name]:
                        del restart_at[machine.name]
                        machine.start()
                    continue
                used = machine.resident_megabytes()
                self.peak[machine.name] = max(self.peak.get(machine.name, 0), used)
                is_over = used > self.deployment.front_limits["memory_mb"]
                if is_over:
                    self.deployment.record.write(f"{machine.name} uses {used:.0f} MB of {self.deployment.front_limits['memory_mb']} MB: the platform ends it")
                    machine.process.send_signal(signal.SIGKILL)
                    machine.process.wait()
                if not machine.is_running():
                    self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
                    self.deployment.record.write(f"{machine.name} has ended by itself, time {self.ends[machine.name]}")
                    restart_at[machine.name] = time.monotonic() + RESTART_DELAY_SECONDS
            time.sleep(0.003)

    def stop(self):
        self.stopping = True
        self.thread.join()
