#include "fuzz/fuzzer.h"
#include "request_target.h"

PG_FUZZER(peridotgate::runtime::RequestTarget)
