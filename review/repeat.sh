#!/bin/sh
# Runs the script of a case five times with the disruption and twice without, and prints the
# exit codes. The record of the last run with the disruption stays.
cd "$(dirname "$0")" || exit 2
for i in 1 2; do
  TROUBLE=0 "./$1/run.sh" > /dev/null
  echo "without the disruption, run $i: $?"
done
for i in 1 2 3 4 5; do
  "./$1/run.sh" > /dev/null
  echo "with the disruption, run $i: $?"
done
