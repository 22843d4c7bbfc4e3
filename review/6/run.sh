#!/bin/sh
# 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: without the bad client.
cd "$(dirname "$0")/../.." || exit 2
[ -r target/lupinwood.jar ] && [ -r target/review-2/LateTry.class ] || {
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
}
exec java -Xmx256m -cp target/review-2 LateTry . review/6
