# Shared by the tools: paths, required packages and the build. Sourced, not run.
set -euo pipefail
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${PERIDOTGATE_BUILD:-$ROOT/build}"
export CCACHE_BASEDIR="$ROOT" CCACHE_NOHASHDIR=1

PACKAGES="g++ cmake ninja-build ccache clang-format clang-tidy libboost1.81-dev
  libthrift-dev libyaml-cpp-dev libcli11-dev libspdlog-dev libfmt-dev
  libgtest-dev librapidcheck-dev libxxhash-dev libssl-dev zlib1g-dev curl"

# Installs missing packages; accesses the registry only if there are any.
install_packages() {
  local missing=""
  for it in $PACKAGES; do
    dpkg -s "$it" >/dev/null 2>&1 || missing="$missing $it"
  done
  if [ -n "$missing" ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
  fi
}

build() {
  cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
  cmake --build "$BUILD" "$@"
}
