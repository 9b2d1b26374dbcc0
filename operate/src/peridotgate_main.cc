// The program that runs entries and the operators' command line.
#include <csignal>
#include <string_view>

#include "operate/verb.h"

namespace {

// Once a gateway runs, SIGHUP requests a reload. One that arrives earlier would
// end the process; the settings are read after it anyway.
void IgnoreEarlyReload(int argc, char** argv, char** /*environment*/) {
  if (argc > 1 && std::string_view(argv[1]) == "gateway") {
    (void)std::signal(SIGHUP, SIG_IGN);
  }
}

// Runs before the initialisers of the shared libraries, which take milliseconds
// on a busy machine. Nothing in this program can run while the dynamic linker
// still loads the libraries.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBeforeInitialisers)(int,
                                                char**,
                                                char**) = IgnoreEarlyReload;

}  // namespace

int main(int argc, char** argv) {
  return peridotgate::operate::RunCommandLine(argc, argv);
}
