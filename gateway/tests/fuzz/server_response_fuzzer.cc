#include "fuzz/fuzzer.h"
#include "server_response_target.h"

PG_FUZZER(peridotgate::gateway::ServerResponseTarget)
