/// \file
/// Handlers of peer links that run in the thread of a Qt object instead of the links' own.
#ifndef RAGWORTCART_RUNTIME_QUEUEDLINKHANDLERS_H
#define RAGWORTCART_RUNTIME_QUEUEDLINKHANDLERS_H

#include "ragwortcart/Wire/PeerLinks.h"

#include <QObject>

namespace ragwort {

/// Wraps \p inner, in order. The links must have ended before \p context does.
inline PeerLinks::Handlers queuedHandlers(QObject &context, PeerLinks::Handlers inner)
{
    return {.onUp =
                [&context, onUp = std::move(inner.onUp)](const std::string &peer) {
                    QMetaObject::invokeMethod(
                        &context, [onUp, peer] { onUp(peer); }, Qt::QueuedConnection);
                },
            .onDown =
                [&context, onDown = std::move(inner.onDown)](const std::string &peer) {
                    QMetaObject::invokeMethod(
                        &context, [onDown, peer] { onDown(peer); }, Qt::QueuedConnection);
                },
            .onMessage =
                [&context, onMessage = std::move(inner.onMessage)](const std::string &peer, const std::string &bytes) {
                    QMetaObject::invokeMethod(
                        &context, [onMessage, peer, bytes] { onMessage(peer, bytes); }, Qt::QueuedConnection);
                }};
}

} // namespace ragwort

#endif
