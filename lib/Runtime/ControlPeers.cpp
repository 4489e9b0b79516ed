/// \file
/// Implements the control thread's communication with peers: links, messages, crash reports and warm-ups.
#include "ragwortcart/Runtime/ControlPlane.h"

#include "ragwortcart/Runtime/QueuedLinkHandlers.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Wire/PeerCodec.h"

namespace ragwort {

PeerLinks::Handlers ControlPlane::makeLinkHandlers()
{
    return queuedLinkHandlers(*this,
                              {.onPeerConnected = [this](const std::string &peer) { this->onLink(peer, true); },
                               .onPeerDisconnected = [this](const std::string &peer) { this->onLink(peer, false); },
                               .onMessage = [this](const std::string &peer, const std::string &bytes) { this->onPeerBytes(peer, bytes); }});
}

void ControlPlane::onLink(const std::string &peer, bool up)
{
    logEvent(LogLevel::info, "peer-link", {{.key = "peer", .value = peer}, {.key = "state", .value = up ? "up" : "down"}});
    if (up) {
        this->exchange.onLinkUp(peer, steadyNow());
    } else {
        this->exchange.onLinkDown(peer);
    }
    this->performPeerActions();
}

void ControlPlane::onPeerBytes(const std::string &peer, const std::string &bytes)
{
    const Result<PeerMessage> message = decodePeerMessage(bytes, peer);
    if (!message) {
        logEvent(LogLevel::warning, "peer-message-rejected", {{.key = "error", .value = message.error().describe()}});
        return;
    }
    this->exchange.onMessage(peer, *message, steadyNow());
    this->performPeerActions();
}

void ControlPlane::performPeerActions()
{
    for (const PeerAction &action : this->exchange.takeActions()) {
        if (const auto *send = std::get_if<SendToPeer>(&action)) {
            this->links.send(send->peer, encodePeerMessage(send->message));
        } else if (const auto *offered = std::get_if<OfferDocument>(&action)) {
            this->offerDocument(offered->document.name, offered->document.json, offered->peer);
        } else if (const auto *completed = std::get_if<CompleteCrashReport>(&action)) {
            this->postToQueryOwner(
                completed->query,
                CrashReportCompleted{.query = completed->query, .fingerprint = completed->fingerprint, .crashedServers = completed->crashedServers});
        } else {
            this->scheduleRebuild();
        }
    }
}

void ControlPlane::updateDesiredPeers()
{
    std::map<std::string, std::string> desired;
    for (const ListedEntryInstance &peer : choosePeers(this->options.instance, this->options.domain, this->directory.entryInstances())) {
        desired[peer.id] = peer.peerAddress;
    }
    this->links.setDesiredPeers(desired);
}

void ControlPlane::recordCrash(const ReportCrash &crashReport)
{
    logEvent(LogLevel::warning,
             "content-accused",
             {{.key = "fingerprint", .value = toHex(crashReport.fingerprint)},
              {.key = "server", .value = crashReport.serverId},
              {.key = "query", .value = std::to_string(crashReport.query)}});
    this->exchange.recordCrash(crashReport.query, crashReport.fingerprint, crashReport.serverId, steadyNow());
    this->performPeerActions();
}

void ControlPlane::announce(const AnnounceWarmUp &warmUp)
{
    this->exchange.announceWarmUp({.serverId = warmUp.serverId, .incarnation = warmUp.incarnation, .level = warmUp.level, .cold = warmUp.cold});
    this->performPeerActions();
    this->scheduleRebuild();
}

} // namespace ragwort
