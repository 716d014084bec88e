# Reports the file, line, text and exit code of a command that fails and so ends a script. Sourced by other scripts.
set -E
trap 'echo "${BASH_SOURCE[0]}:$LINENO: \"$BASH_COMMAND\" failed with exit code $?" >&2' ERR
