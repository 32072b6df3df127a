#!/bin/sh
# Builds what the scripts of the cases start beside the project's own programs: the
# project's stand-ins and those of the review. Needs no network; run it after the build
# line of deploy/system.toml.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
export PYTHONPATH="$root/target/deps:$root"
python3 -m compileall -q standins review wagtailcleat || exit 1
for module in standins.platform_store standins.platform_worker review.leaving_worker review.strict_worker \
    wagtailcleat.cluster.entry_app wagtailcleat.cluster.agent_app; do
    python3 -c "import $module" || exit 1
done
