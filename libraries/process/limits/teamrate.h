#pragma once

namespace Hyssophall {

/// A team's rate and burst over all VMs together.
struct TeamRate {
    /// Requests a second; 0 means no limit.
    double rate = 0;
    double burst = 0;
};

} // namespace Hyssophall
