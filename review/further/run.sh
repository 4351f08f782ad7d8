#!/bin/sh
# Plays a finding that is no case, by its name: half-close or leaving.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin "${1:?name}" .
