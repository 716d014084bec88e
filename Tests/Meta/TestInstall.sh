#!/usr/bin/env bash
# Checks that the install command requests exactly the packages that are not installed. dpkg-query fails if it does not
# know a package, and the command must still request the missing ones.
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
grep -q 'install .*absent-one' "$work/calls" || { echo "apt-get was not asked to install the absent package"; exit 1; }
if grep -q present "$work/calls"; then echo "apt-get was asked to install a package that is already installed"; exit 1; fi
echo "install requests only the absent packages"
