#!/bin/bash
# Builds and checks the stand-ins of cases 4 to 8, after the build line of the deploy file. They
# are Python: the cases' own need no library, the project's store uses those of target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/standins-2 || exit 1
PYTHONPATH=target/deps:. python3 -m hornbeamglade standin platform --help > /dev/null
