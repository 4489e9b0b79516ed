/// \file
/// The compiled parts of Boost.Asio and Boost.Beast, once for all sources that include them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
