/// \file
/// Boost.Asio state of the event loop, and parsing of endpoints, for library sources that use sockets directly. Not part of the
/// public interface.
#ifndef RAGWORTCART_LIB_WIRE_ASIOLOOP_H
#define RAGWORTCART_LIB_WIRE_ASIOLOOP_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ragwortcart/Support/Error.h"

#include <optional>
#include <string>

namespace ragwort {

struct AsioLoop
{
    /// The argument is the number of threads that run the context.
    boost::asio::io_context context{1};
    /// Keeps `run()` from returning while no operation is pending.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = boost::asio::make_work_guard(this->context);
};

/// Parses "IPv4:port" or "[IPv6]:port". Returns nothing on an invalid IP address or a port out of range; does not resolve host names.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace ragwort

#endif
