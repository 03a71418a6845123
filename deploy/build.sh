#!/bin/sh
# Puts the runtime libraries and the product under target/deps, compiled, so
# that a host neither compiles nor writes when it starts.
set -eu
lock=deploy/requirements.lock
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ "$lock" -nt "$deps/.libraries" ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --disable-pip-version-check --no-compile \
    --require-hashes --target "$deps" -r "$lock"
  touch "$deps/.libraries"
fi
for package in packages/data/sapphire_data packages/core/sapphire_core \
  packages/wire/sapphire_wire packages/net/sapphire_net \
  packages/node/sapphire_node platform/sapphire_platform; do
  name=$(basename "$package")
  rm -rf "${deps:?}/$name"
  cp -R "$package" "$deps/$name"
  find "$deps/$name" -name '*_test.py' -delete
done
python3 -m compileall -q "$deps"
