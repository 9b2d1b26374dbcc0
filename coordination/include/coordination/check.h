// Checks of program invariants, enabled in every build.
#ifndef COORDINATION_CHECK_H_
#define COORDINATION_CHECK_H_

namespace peridotgate::coordination {

/** Prints the failed expression and its location, then aborts. */
[[noreturn]] void CheckFailed(const char* expression,
                              const char* file,
                              int line);

}  // namespace peridotgate::coordination

/** Aborts when an internal invariant is violated. Not for user input. */
#define PG_CHECK(expression)                                \
  ((expression) ? static_cast<void>(0)                      \
                : ::peridotgate::coordination::CheckFailed( \
                      #expression, __FILE__, __LINE__))

#endif  // COORDINATION_CHECK_H_
