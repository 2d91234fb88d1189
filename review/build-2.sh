#!/bin/sh
# Builds the stand-ins of cases 6 to 10 against the program's jar, which the build of the deploy file leaves in target/.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/lib-2/build
mkdir -p review/lib-2/build
javac -encoding UTF-8 -cp target/mintstair.jar -d review/lib-2/build review/lib-2/*.java
