#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They need the standard library of
# Python 3.11 only, so there is nothing to compile or to install.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in common2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
