#!/usr/bin/env python3
"""Plays a quick score and a hunt on each deployment of Meta/regression-sites.txt with the users' bench, prints a table and, as the
last line, one JSON object. It goes on after a failure. The exit code is 0 if every gate was passed and no rule was broken, 1 if not,
and 2 if the kit or the bench is missing."""

import argparse
import json
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def read_sites(path):
    """The (site file, days of its hunt) pairs of the list."""
    sites = []
    with open(path) as lines:
        for number, line in enumerate(lines, start=1):
            words = line.split("#")[0].split()
            if not words:
                continue
            if len(words) != 2 or not words[1].isdigit():
                raise ValueError(f"{path}:{number}: expected a site file and a number of days")
            sites.append((words[0], int(words[1])))
    return sites


def journal_entry(output):
    """The journal entry that the bench names in the last lines of its output; None if it names none."""
    named = re.findall(r"^snapshot ([0-9a-f]+)$", output, re.MULTILINE)
    if not named:
        return None
    journal = os.path.join(ROOT, "journal")
    names = [name for name in os.listdir(journal) if name.endswith(f"-{named[-1]}.json")]
    if not names:
        return None
    with open(os.path.join(journal, names[0])) as file:
        return json.load(file)


def play(bench, arguments):
    """Runs the bench, and returns what its journal entry says, with a list of the failures."""
    process = subprocess.run([bench, *arguments], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    entry = journal_entry(process.stdout)
    if entry is None or not entry["ok"]:
        return {"journal": entry["id"] if entry else None, "failures": [f"the bench did not finish, exit code {process.returncode}: {process.stdout.strip()[-200:]}"]}
    failures = []
    for day in entry["days"]:
        place = f"{day['name']} (seed {day['seed']})"
        if day["rules"]:
            failures.append(f"{place}: broken rules {day['rules']}")
        if day["fault"]:
            failures.append(f"{place}: {day['fault']}")
        if arguments[0] == "score" and not day["gate"]:
            failures.append(f"{place}: the gate was not passed")
    return {"journal": entry["id"], "score": entry["score"], "days": len(entry["days"]), "failures": failures}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", help="the users' bench program")
    parser.add_argument("kit", help="the folder of the users' kit that holds the site files")
    parser.add_argument("--jobs", default="3", help="the number of days that the bench plays at once")
    parser.add_argument("--sites", default=os.path.join(ROOT, "Meta", "regression-sites.txt"), help="the list of deployments")
    options = parser.parse_args()
    try:
        sites = read_sites(options.sites)
    except (OSError, ValueError) as error:
        parser.error(str(error))
    missing = [path for path in [options.bench] + [os.path.join(options.kit, site) for site, _ in sites] if not os.path.exists(path)]
    if missing:
        parser.error("missing: " + " ".join(missing))
    results = []
    print(f"{'deployment':32} {'play':6} {'days':>4} {'score':>6} {'journal':9} failures", flush=True)
    for site, days in sites:
        path = os.path.join(options.kit, site)
        common = ["--jobs", options.jobs, "--why", "regression before a landing"]
        for arguments in (["score", path, "--quick", *common], ["hunt", path, "--days", str(days), *common]):
            result = {"site": site, "play": arguments[0], **play(options.bench, arguments)}
            results.append(result)
            score = result.get("score")
            print(f"{os.path.basename(site):32} {result['play']:6} {result.get('days', 0):4} {'' if score is None else f'{score:.3f}':>6} {result['journal'] or '-':9} {'; '.join(result['failures']) or 'none'}", flush=True)
    print(json.dumps({"plays": results, "failures": sum(len(result["failures"]) for result in results)}))
    return 1 if any(result["failures"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
