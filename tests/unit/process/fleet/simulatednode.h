#pragma once

#include "process/fleet/fleetcore.h"
#include "simulatedcatalogue.h"
#include "simulatedgossiptransport.h"

#include <string>
#include <vector>

namespace Hyssophall {

/// One VM of a simulated fleet: its catalogue, transport and FleetCore.
struct SimulatedNode final : SimulatedNetwork::Endpoint {
    SimulatedNode(SimulatedNetwork &network,
        const std::string &id,
        std::vector<std::string> seeds,
        std::uint64_t incarnation,
        const CatalogueMessages::Snapshot &snapshot)
        : transport(network, this)
        , core({{id, id, incarnation}, std::move(seeds)},
              this->transport,
              this->catalogue.source(),
              {[&network] { return network.now(); },
                  [&network] { return network.generator(); },
                  [](const std::function<void()> &work) { work(); },
                  [](const std::function<void()> &work) { work(); }})
    {
        this->address = id;
        if (snapshot.version() > 0) {
            this->catalogue.source().replace(snapshot);
        }
        this->core.installHandlers(this->handlers);
    }

    std::vector<std::string> memberIdsWith(Liveness liveness)
    {
        std::vector<std::string> ids;
        for (const MemberView::MemberStatus &member : this->core.members().members()) {
            if (member.liveness == liveness) {
                ids.push_back(member.id);
            }
        }
        return ids;
    }

    SimulatedCatalogue catalogue;
    SimulatedTransport transport;
    FleetCore core;
};

} // namespace Hyssophall
