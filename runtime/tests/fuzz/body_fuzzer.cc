#include "body_target.h"
#include "fuzz/fuzzer.h"

PG_FUZZER(peridotgate::runtime::BodyTarget)
