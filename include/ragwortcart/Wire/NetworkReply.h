/// \file
/// Helpers for responses that were received with QNetworkAccessManager.
#ifndef RAGWORTCART_WIRE_NETWORKREPLY_H
#define RAGWORTCART_WIRE_NETWORKREPLY_H

#include <QNetworkReply>
#include <string>

namespace ragwort {

/// Returns the status of a response, or 0 if none has been received.
int statusOf(const QNetworkReply &reply);

/// Returns whether a response with the status of a final response, 200 to 599, has been received. Another one is not the word of the server.
bool hasFinalStatus(const QNetworkReply &reply);

/// Returns whether a reply is a complete response with status 200. Qt reports no error for any status below 400, not even for one that does not
/// exist such as 000.
bool succeeded(const QNetworkReply &reply);

/// Describes a reply that has not succeeded, for errors and logs.
std::string describeFailure(const QNetworkReply &reply);

} // namespace ragwort

#endif
