#!/bin/sh
# The stand-ins are Python scripts that need no build; checks that they can be run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for file in common/*.py [0-9]/*.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
