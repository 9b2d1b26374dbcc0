// The result type used by every layer: a value or a layer-specific error.
#ifndef COORDINATION_RESULT_H_
#define COORDINATION_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

namespace peridotgate::coordination {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/**
 * A value `T` or an error `E`. Accessing the one that is not present terminates
 * the process, because it is a programming error.
 */
template <class T, class E>
using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

}  // namespace peridotgate::coordination

#endif  // COORDINATION_RESULT_H_
