// The implementation of the JSON library, which is used from its headers.
#include <boost/json/src.hpp>
