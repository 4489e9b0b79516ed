/// \file
/// Wraps peer link handlers so that they run on the thread of a Qt object instead of the links' own thread.
#ifndef RAGWORTCART_RUNTIME_QUEUEDLINKHANDLERS_H
#define RAGWORTCART_RUNTIME_QUEUEDLINKHANDLERS_H

#include "ragwortcart/Wire/PeerLinks.h"

#include <QObject>

namespace ragwort {

/// Queues each call of \p inner on the thread of \p context and preserves the order of calls. \p context must outlive the links.
inline PeerLinks::Handlers queuedLinkHandlers(QObject &context, PeerLinks::Handlers inner)
{
    return {.onPeerConnected =
                [&context, onPeerConnected = std::move(inner.onPeerConnected)](const std::string &peer) {
                    QMetaObject::invokeMethod(
                        &context, [onPeerConnected, peer] { onPeerConnected(peer); }, Qt::QueuedConnection);
                },
            .onPeerDisconnected =
                [&context, onPeerDisconnected = std::move(inner.onPeerDisconnected)](const std::string &peer) {
                    QMetaObject::invokeMethod(
                        &context, [onPeerDisconnected, peer] { onPeerDisconnected(peer); }, Qt::QueuedConnection);
                },
            .onMessage =
                [&context, onMessage = std::move(inner.onMessage)](const std::string &peer, const std::string &bytes) {
                    QMetaObject::invokeMethod(
                        &context, [onMessage, peer, bytes] { onMessage(peer, bytes); }, Qt::QueuedConnection);
                }};
}

} // namespace ragwort

#endif
