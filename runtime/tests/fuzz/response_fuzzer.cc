#include "fuzz/fuzzer.h"
#include "response_target.h"

PG_FUZZER(peridotgate::runtime::ResponseTarget)
