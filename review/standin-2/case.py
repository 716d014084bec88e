"""What all scripts of this review share: the exit code, the time limit, and the switch for the disruption."""

import os
import signal
import sys
import traceback

from deployment import CannotRun, Record

LIMIT_S = 110


def on_time_limit(*_):
    raise CannotRun(f"not finished within {LIMIT_S} s")


def run_case(folder, run):
    """Runs a case and exits. `run` gets the record and whether there is trouble, and returns a text for each break of the rule."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGALRM, on_time_limit)
    signal.signal(signal.SIGTERM, on_time_limit)
    signal.alarm(LIMIT_S)
    try:
        breaks = run(record, os.environ.get("TROUBLE", "1") != "0")
        code = 1 if breaks else 0
        for text in breaks:
            record.write("BROKEN " + text)
            print("BROKEN", text)
        if not breaks:
            record.write("HELD")
            print("held")
    except Exception as error:
        code = 2
        record.write(f"COULD NOT RUN {error!r}")
        print("could not run:", repr(error))
        if not isinstance(error, CannotRun):
            traceback.print_exc()
    sys.stdout.flush()
    os._exit(code)
