#!/bin/sh
# Builds the stand-ins of review/6 to review/10, the project's stand-in of the store among them.
# They are Python and need only what the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -W ignore -c "import standins.metadatastore" || exit 1
exec python3 - review/lib2/*.py review/lib/*.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py standins/metadatastore.py standins/platformdata.py <<'EOF'
import pathlib
import sys

for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
EOF
