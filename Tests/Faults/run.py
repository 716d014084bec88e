"""Runs the fault scenarios and checks the time line of each. The last line of output is a JSON object with the totals."""

import json
import shutil
import sys
import time

import scenarios
from deployment import Deployment

VIOLATION_COUNTERS = ["started_twice", "lost", "partial", "wrong_caller", "false_not_run", "reverted", "started_after_leaving"]


def run_scenario(scenario):
    deployment = Deployment()
    start = time.monotonic()
    problems = []
    load = {}
    try:
        deployment.start()
        load = scenario(deployment)
        exit_codes = deployment.stop()
        problems += [f"{name} exited with code {code}" for name, code in exit_codes.items() if code != 0]
    except Exception as error:  # Any error fails this scenario only; the remaining ones still run.
        problems.append(f"{type(error).__name__}: {error}")
    finally:
        deployment.kill_all()
        deployment.relay.close()
    counters, violations = deployment.replay_time_lines()
    problems += [f"{name} {counters[name]}" for name in VIOLATION_COUNTERS if counters[name]]
    passed = not problems and counters["answered"] + counters["jobs_complete"] > 0
    scenario_metrics = {name: load[name] for name in ("served_while_cut_off", "answered_while_leaving") if name in load}
    print(f"{'passed' if passed else 'FAILED'}  {scenario.__name__}  {time.monotonic() - start:.1f} s  "
          f"answered {counters['answered']}, jobs {counters['jobs_complete']}, not run {counters['refused_not_run']}, unknown {counters['unknown']}, jobs failed {counters['jobs_failed']}"
          + "".join(f", {name} {value}" for name, value in scenario_metrics.items()), flush=True)
    for problem in problems + (violations.splitlines()[:5] if not passed else []):
        print("    " + problem, flush=True)
    if passed:
        shutil.rmtree(deployment.folder)
    else:
        print("    time lines and logs kept in " + deployment.folder, flush=True)
    return passed, counters


def main():
    selected = [scenario for scenario in scenarios.SCENARIOS if not sys.argv[1:] or scenario.__name__ in sys.argv[1:]]
    totals = dict.fromkeys(VIOLATION_COUNTERS, 0)
    passed = 0
    for scenario in selected:
        succeeded, counters = run_scenario(scenario)
        passed += succeeded
        for name in VIOLATION_COUNTERS:
            totals[name] += counters[name]
    print(json.dumps({"scenarios": len(selected), "passed": passed, "failed": len(selected) - passed, **totals}))
    sys.exit(0 if passed == len(selected) else 1)


main()
