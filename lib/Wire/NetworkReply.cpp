/// \file
/// Implements the helpers for responses of QNetworkAccessManager.
#include "ragwortcart/Wire/NetworkReply.h"

namespace ragwort {

static constexpr int HTTP_OK = 200;
/// The last status of a final response (RFC 9110, section 15).
static constexpr int MAXIMUM_STATUS = 599;

int statusOf(const QNetworkReply &reply)
{
    return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

bool hasFinalStatus(const QNetworkReply &reply)
{
    const int status = statusOf(reply);
    return status >= HTTP_OK && status <= MAXIMUM_STATUS;
}

bool succeeded(const QNetworkReply &reply)
{
    return reply.error() == QNetworkReply::NoError && statusOf(reply) == HTTP_OK;
}

std::string describeFailure(const QNetworkReply &reply)
{
    return "status " + std::to_string(statusOf(reply)) + ", " + reply.errorString().toStdString();
}

} // namespace ragwort
