"""Runs executors in a process of their own until standard input ends.

Arguments: the record's file, the addresses of control, separated by commas, and the addresses of the executors, separated by commas."""

import sys
import time

from executor import Executor, Observer


class QuietRecord:
    """Writes what the executors see into a file of its own."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")


def main():
    path, control, addresses = sys.argv[1:]
    observer = Observer(QuietRecord(path))
    for number, address in enumerate(addresses.split(",")):
        Executor(observer, f"i-{number}", address, control.split(","), "desk", "zone-a", ["a", "r1-1"]).start()
    sys.stdin.read()


if __name__ == "__main__":
    main()
