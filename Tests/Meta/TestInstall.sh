#!/usr/bin/env bash
# The install step asks for just the packages that are not installed, also where the package query fails over them.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin"
printf '%s\n' present-one absent-one present-two >"$work/packages.txt"
cat >"$work/bin/dpkg-query" <<'S'
#!/usr/bin/env bash
printf '%s install ok installed\n' present-one present-two
echo "dpkg-query: no packages found matching absent-one" >&2
exit 1
S
cat >"$work/bin/apt-get" <<S
#!/usr/bin/env bash
echo "\$*" >>"$work/calls"
S
chmod +x "$work"/bin/*
PATH="$work/bin:$PATH" SASSAFRASSHIFT_PACKAGES="$work/packages.txt" bash "$root/Meta/sassafrasshift.sh" install
grep -q 'install .*absent-one' "$work/calls" || { echo "the absent package was not asked for"; exit 1; }
if grep -q present "$work/calls"; then echo "an installed package was asked for again"; exit 1; fi
echo "install asks for what is absent"
