#!/bin/sh
# Builds the stand-ins of review/6 to review/10, the project's stand-in of the store among them.
# They are Python and need only what the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c "import eventlet" || exit 1
PYTHONPATH=target/deps:. python3 -W ignore -c "import standins.metadatastore" || exit 1
for file in review/lib2/*.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py standins/metadatastore.py standins/platformdata.py; do
    if [ -f "$file" ]; then
        python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
    fi
done
