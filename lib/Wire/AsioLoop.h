/// \file
/// The Boost.Asio side of the event loop, for the sources of this library only.
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
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = boost::asio::make_work_guard(this->context);
};

/// Splits "IP:port"; names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace ragwort

#endif
