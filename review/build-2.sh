#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: Python modules that need what the build line
# of deploy/system.toml has put into target/deps, and nothing else.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 -c "
import compileall, importlib

for folder in ('standins', 'review'):
    assert compileall.compile_dir(folder, quiet=1, maxlevels=0), folder
names = ['standins.platform_store', 'review.sound_platform', 'review.small_deployment']
names += ['review.large_submissions', 'review.held_starts', 'review.advice_turns']
names += ['review.gang_starts', 'review.scheduled_watch']
for name in names:
    importlib.import_module(name)
print('built', len(names), 'modules')
"
