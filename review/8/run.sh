#!/bin/sh
# Plays the case and writes record.txt beside this file: what was sent, answered and run. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$here/../play-2.sh" "$here"
