#!/bin/bash
# Runs this case; see claim.txt, and review/standin/run_case.sh for the exit codes.
exec "$(dirname "$0")/../standin/run_case.sh" 3
