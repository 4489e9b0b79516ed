/// \file
/// Finds the backend servers that serve a failure domain badly, from what all its instances have seen of them. Without I/O.
///
/// In a large fleet one instance meets each server too rarely to learn that it is slow before it has forgotten it again.
/// Instances count how their attempts went and tell a relay, which adds the counts up and warns them all.
#ifndef RAGWORTCART_CONTROL_SERVERNEWS_H
#define RAGWORTCART_CONTROL_SERVERNEWS_H

#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Kernel/Topology.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

/// How the attempts of this instance at each server have gone since the last call.
std::vector<ServerUse> collectUses(const Topology &topology);

/// Makes this instance's choices avoid the servers warned of, for as long as the warning is fresh.
void applyWarnings(const Topology &topology, std::span<const ServerWarning> warnings, Instant now);

class ServerNews
{
public:
    /// What an instance of the domain, this one included, has seen.
    void note(std::span<const ServerUse> uses);

    /// The servers that serve badly now; ages the counts by one interval.
    std::vector<ServerWarning> nextWarnings();

private:
    struct Count
    {
        double uses = 0.0;
        double bad = 0.0;
    };

    std::map<std::string, Count> counts;
};

} // namespace ragwort

#endif
