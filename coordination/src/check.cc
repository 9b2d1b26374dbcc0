#include "coordination/check.h"

#include <cstdio>
#include <cstdlib>

namespace peridotgate::coordination {

void CheckFailed(const char* expression, const char* file, int line) {
  std::fprintf(stderr, "invariant violated: %s (%s:%d)\n", expression, file,
               line);
  std::abort();
}

}  // namespace peridotgate::coordination
