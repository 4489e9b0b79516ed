/// \file
/// Detects backend servers that perform badly for a failure domain from the attempts of all its instances. Performs no
/// I/O.
///
/// In a large fleet a single instance uses each server too rarely to detect that it is slow before its observations
/// expire. Instances count the results of their attempts and send them to the relays of their domain (see
/// StoreChangeFeed), which aggregate the counts and send warnings to all linked instances of the domain.
#ifndef RAGWORTCART_CONTROL_SERVERATTEMPTAGGREGATOR_H
#define RAGWORTCART_CONTROL_SERVERATTEMPTAGGREGATOR_H

#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Kernel/Topology.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

/// Returns the results of this instance's attempts at each server since the last call.
std::vector<ServerAttemptCounts> collectAttemptCounts(const Topology &topology);

/// Makes this instance avoid the servers in \p warnings while the warnings are recent.
void applyWarnings(const Topology &topology, std::span<const ServerWarning> warnings, Instant now);

class ServerAttemptAggregator
{
public:
    /// Adds the counts of an instance of the domain, this instance included.
    void addAttemptCounts(std::span<const ServerAttemptCounts> attemptCounts);

    /// Returns the servers that perform badly now, and decays the counts by one interval.
    std::vector<ServerWarning> nextWarnings();

private:
    struct Count
    {
        double attempts = 0.0;
        double bad = 0.0;
    };

    std::map<std::string, Count> counts;
};

} // namespace ragwort

#endif
