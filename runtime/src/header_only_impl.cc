// The single translation unit that compiles Asio, Beast and Boost.JSON.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
