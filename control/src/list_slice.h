// Selects the slice of the platform's instance list that this process reads.
#ifndef CONTROL_LIST_SLICE_H_
#define CONTROL_LIST_SLICE_H_

#include "coordination/membership.h"
#include "platform/instance_list.h"

namespace peridotgate::control {

/**
 * Splits the sorted names of all members into one equal range per usable entry
 * and returns the range at this entry's rank. Together the ranges cover every
 * name, including unknown ones. While entries have different views of the
 * membership, some names are read twice or not at all.
 */
platform::NameRange SliceOf(const coordination::Membership& members);

}  // namespace peridotgate::control

#endif  // CONTROL_LIST_SLICE_H_
