/// \file
/// Implements the checks of HTTP responses beyond those of the parser.
#include "ResponseCheck.h"

#include <boost/beast/core/string.hpp>

namespace ragwort {

namespace http = boost::beast::http;

/// The range of the statuses of final responses (RFC 9110, section 15).
static constexpr unsigned MINIMUM_FINAL_STATUS = 200;
static constexpr unsigned MAXIMUM_STATUS = 599;

const char *findResponseFault(const http::response_header<> &head)
{
    // The parser accepts any three digits. No request asks for an interim response (1xx).
    if (head.result_int() < MINIMUM_FINAL_STATUS || head.result_int() > MAXIMUM_STATUS) {
        return "not the status of a final response";
    }
    const std::size_t codings = head.count(http::field::transfer_encoding);
    if (codings > 1 || (codings == 1 && !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))) {
        // The parser has not decoded the body.
        return "unknown transfer coding";
    }
    return nullptr;
}

bool hasFoldedLine(std::string_view received)
{
    for (std::size_t end = received.find('\n'); end != std::string_view::npos; end = received.find('\n', end + 1)) {
        const std::string_view next = received.substr(end + 1);
        if (next.starts_with(' ') || next.starts_with('\t')) {
            return true;
        }
        if (next.starts_with("\r\n")) {
            // The empty line that ends the head.
            return false;
        }
    }
    return false;
}

} // namespace ragwort
