/// \file
/// What each fault does to the world.
#include "WorldState.h"

namespace ragwort::matrix {

void World::strike(Fault fault, const std::shared_ptr<Instance> &given, const std::string &serverId)
{
    const std::shared_ptr<Instance> instance = given ? given : this->instances[this->random(3)];
    Server &target = this->server(serverId.empty() ? "s0" + DOMAINS.at(this->random(3)) : serverId);
    switch (fault) {
    case Fault::killInstance: {
        instance->alive = false;
        for (auto &[id, caller] : this->callers) {
            caller.excused = caller.excused || caller.instance == instance->id;
        }
        this->linkPeers();
        const auto slot = static_cast<std::size_t>(std::find(this->instances.begin(), this->instances.end(), instance) - this->instances.begin());
        this->at(FAULT_TIME, [this, slot] {
            if (slot < this->instances.size() && !this->instances[slot]->alive) {
                this->startInstance(slot, true);
            }
        });
        return;
    }
    case Fault::freezeInstance:
        instance->frozen = true;
        for (auto &[id, caller] : this->callers) {
            caller.excused = caller.excused || caller.instance == instance->id;
        }
        this->at(FAULT_TIME, [this, instance] {
            instance->frozen = false;
            for (const Task &task : std::exchange(instance->backlog, {})) {
                this->on(instance, task);
            }
        });
        return;
    case Fault::cutInstanceFromDomain:
        for (const auto &[id, each] : this->servers) {
            if (each->domain == target.domain) {
                this->cutFor(instance->id, id, FAULT_TIME);
            }
        }
        return;
    case Fault::cutInstanceFromStore:
        this->cutFor(instance->id, "store", FAULT_TIME * 2);
        return;
    case Fault::isolateDomain:
        for (const auto &other : this->instances) {
            if (other->domain != instance->domain) {
                this->cutFor(instance->id, other->id, FAULT_TIME * 2);
            }
        }
        for (const auto &[id, each] : this->servers) {
            for (const auto &other : this->instances) {
                if ((each->domain == instance->domain) != (other->domain == instance->domain)) {
                    this->cutFor(other->id, id, FAULT_TIME * 2);
                }
            }
        }
        this->cutFor(instance->id, "store", FAULT_TIME * 2);
        this->lostServers.noteIsolation(instance->domain, this->now, this->now + FAULT_TIME * 2);
        this->linkPeers();
        this->at(FAULT_TIME * 2 + milliseconds(1), [this] { this->linkPeers(); });
        return;
    case Fault::storeOutage:
        this->outage = true;
        this->at(FAULT_TIME * 2, [this] { this->outage = false; });
        return;
    case Fault::storeSlow:
        this->storeSlowness = milliseconds(300);
        this->at(FAULT_TIME, [this] { this->storeSlowness = Duration(0); });
        return;
    case Fault::storeAnswersLost:
        this->answersToLose += 5;
        return;
    case Fault::operatorRace:
        this->changeTier(true);
        this->changeTier(true);
        return;
    case Fault::straggler:
        target.slowFactor = 20;
        this->at(FAULT_TIME, [&target] { target.slowFactor = 1; });
        return;
    case Fault::killServer:
        this->killServer(target);
        return;
    case Fault::freezeServer:
        target.frozen = true;
        this->at(FAULT_TIME, [&target] { target.frozen = false; });
        return;
    case Fault::repartition:
        this->publishSnapshot(true);
        return;
    case Fault::newSnapshot:
        this->publishSnapshot(false);
        this->publishSnapshot(false);
        return;
    case Fault::coldUnannounced:
        target.coldAnswersLeft = 20;
        target.coldSince = this->now;
        target.lying = true;
        return;
    case Fault::drainServer:
        target.draining = true;
        target.drainingSince = this->now;
        this->at(FAULT_TIME * 2, [&target] { target.draining = false; });
        return;
    case Fault::lyingReports:
        for (const auto &[id, each] : this->servers) {
            each->lying = true;
        }
        this->killServer(target);
        return;
    case Fault::crashingContent:
        this->crashNext = true;
        return;
    case Fault::silentConnections:
        target.silentBefore = this->now;
        return;
    case Fault::crossedAnswers:
        this->crossAnswers = true;
        this->at(FAULT_TIME, [this] { this->crossAnswers = false; });
        return;
    }
}

} // namespace ragwort::matrix
