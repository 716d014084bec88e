# Makes a script that ends on a failed command say which one it was; sourced by the scripts beside it.
set -E
trap 'echo "${BASH_SOURCE[0]}:$LINENO: \"$BASH_COMMAND\" failed with exit code $?" >&2' ERR
