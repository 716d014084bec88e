#!/usr/bin/env python3
"""Runs Meta/regression.py with a stand-in for the users' bench, which writes journal entries as the bench does."""

import json
import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BENCH = """#!/usr/bin/env python3
import json, os, sys
site = os.path.basename(sys.argv[2])
if site == "unfinished.toml":
    sys.exit("the day was given up")
number = f"{len(os.listdir('journal')):08x}"
rules = {"TWICE": 1} if site == "broken.toml" and sys.argv[1] == "hunt" else {}
entry = {"id": number, "ok": True, "score": 0.9 if sys.argv[1] == "score" else None, "days": [{"name": "day", "seed": 7, "rules": rules, "fault": None, "gate": not rules}]}
json.dump(entry, open(f"journal/20260101T000000-{number}.json", "w"))
print("snapshot " + number)
"""


def run(folder, sites, kit=None):
    """Returns the exit code, the last line of output and the errors of a run with the given list of sites."""
    with open(os.path.join(folder, "sites.txt"), "w") as file:
        file.write(sites)
    command = [os.path.join(folder, "Meta", "regression.py"), os.path.join(folder, "bench"), kit or folder, "--sites", os.path.join(folder, "sites.txt")]
    process = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, check=False)
    return process.returncode, process.stdout.strip().split("\n")[-1], process.stderr


def main():
    folder = tempfile.mkdtemp(prefix="sassafrasshift-regression-")
    os.makedirs(os.path.join(folder, "Meta"))
    os.makedirs(os.path.join(folder, "journal"))
    shutil.copy(os.path.join(ROOT, "Meta", "regression.py"), os.path.join(folder, "Meta"))
    with open(os.path.join(folder, "bench"), "w") as file:
        file.write(BENCH)
    os.chmod(os.path.join(folder, "bench"), 0o755)
    for site in ("good.toml", "broken.toml", "unfinished.toml"):
        open(os.path.join(folder, site), "w").close()

    code, last, _ = run(folder, "good.toml 2\n")
    assert code == 0 and json.loads(last)["failures"] == 0, last
    code, last, _ = run(folder, "# the first ones fail\nbroken.toml 2\nunfinished.toml 2\ngood.toml 2\n")
    result = json.loads(last)
    assert code == 1 and result["failures"] == 3, last
    assert [play["site"] for play in result["plays"]] == ["broken.toml"] * 2 + ["unfinished.toml"] * 2 + ["good.toml"] * 2, last
    assert "TWICE" in result["plays"][1]["failures"][0] and "seed 7" in result["plays"][1]["failures"][0], last
    code, _, errors = run(folder, "good.toml 2\n", kit=os.path.join(folder, "nowhere"))
    assert code == 2 and "missing" in errors, errors
    code, _, errors = run(folder, "good.toml\n")
    assert code == 2 and "sites.txt:1" in errors, errors
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
