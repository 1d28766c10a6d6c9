# Runs the driver of a case: run-case.sh CLASS FOLDER. Exit code: 1 broken, 0 held, 2 could not run.
folder="$(cd "$2" && pwd)"
ROOT="$(cd "$folder/../.." && pwd)"
RECORD="$folder/record.txt"
WORK="$(mktemp -d)"
export ROOT RECORD WORK
rm -f "$RECORD"
[ -d "$ROOT/target/review/classes" ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx768m -XX:+UseSerialGC -cp "$ROOT/target/review/classes" "$1"
code=$?
rm -rf "$WORK"
case $code in 0|1|2) exit $code ;; *) exit 2 ;; esac
