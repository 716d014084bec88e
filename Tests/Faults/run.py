"""Runs the fault scenarios and checks the time line of each. The last line is one JSON object."""

import json
import shutil
import sys
import time

import scenarios
from deployment import Deployment

COUNTED = ["started_twice", "lost", "partial", "wrong_caller", "false_not_run", "reverted", "started_after_leaving"]


def run(scenario):
    deployment = Deployment()
    start = time.monotonic()
    problems = []
    load = {}
    try:
        deployment.start()
        load = scenario(deployment)
        codes = deployment.stop()
        problems += [f"{name} ended with {code}" for name, code in codes.items() if code != 0]
    except Exception as error:  # Whatever goes wrong makes the scenario fail, and the others still run.
        problems.append(f"{type(error).__name__}: {error}")
    finally:
        deployment.kill_all()
        deployment.relay.close()
    findings, violations = deployment.findings()
    problems += [f"{name} {findings[name]}" for name in COUNTED if findings[name]]
    passed = not problems and findings["answered"] + findings["jobs_complete"] > 0
    shares = {name: load[name] for name in ("served_while_cut_off", "answered_while_leaving") if name in load}
    print(f"{'passed' if passed else 'FAILED'}  {scenario.__name__}  {time.monotonic() - start:.1f} s  "
          f"answered {findings['answered']}, jobs {findings['jobs_complete']}, not run {findings['refused_not_run']}, unknown {findings['unknown']}, jobs failed {findings['jobs_failed']}"
          + "".join(f", {name} {value}" for name, value in shares.items()), flush=True)
    for problem in problems + (violations.splitlines()[:5] if not passed else []):
        print("    " + problem, flush=True)
    if passed:
        shutil.rmtree(deployment.folder)
    else:
        print("    kept: " + deployment.folder, flush=True)
    return passed, findings


def main():
    chosen = [scenario for scenario in scenarios.ALL if not sys.argv[1:] or scenario.__name__ in sys.argv[1:]]
    totals = dict.fromkeys(COUNTED, 0)
    passed = 0
    for scenario in chosen:
        succeeded, findings = run(scenario)
        passed += succeeded
        for name in COUNTED:
            totals[name] += findings[name]
    print(json.dumps({"scenarios": len(chosen), "passed": passed, "failed": len(chosen) - passed, **totals}))
    sys.exit(0 if passed == len(chosen) else 1)


main()
