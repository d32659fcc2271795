#include "process/fleet/claimround.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

ClaimRound::ClaimRound(std::size_t members, std::size_t quorum, std::uint64_t fingerprint)
    : members(members)
    , quorum(quorum)
    , fingerprint(fingerprint)
{
}

void ClaimRound::addReply(const FleetMessages::ClaimReply &reply)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (reply.result() == FleetMessages::ClaimReply::RESULT_GRANTED) {
            ++this->granted;
        } else if (reply.result() == FleetMessages::ClaimReply::RESULT_HELD) {
            ++this->refused;
            std::pair<std::size_t, FleetMessages::ClaimRecord> &entry = this->held[reply.held().attempt()];
            ++entry.first;
            entry.second = reply.held();
            // Prefers a record with the response's body to one whose body was omitted.
            if (reply.held().state() == FleetMessages::CLAIM_STATE_DONE && (!this->done || this->done->outcome().body_omitted())) {
                this->done = reply.held();
            }
        } else {
            ++this->failed;
        }
    }
    this->changed.notify_all();
}

void ClaimRound::addAcknowledgement()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->granted;
    }
    this->changed.notify_all();
}

void ClaimRound::addFailure()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->failed;
    }
    this->changed.notify_all();
}

bool ClaimRound::decidedLocked() const
{
    const std::size_t answered = this->granted + this->refused + this->failed;
    return this->granted >= this->quorum || this->done.has_value() || this->heldByQuorumLocked() || answered >= this->members;
}

bool ClaimRound::isDecided() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->decidedLocked();
}

bool ClaimRound::heldByQuorumLocked() const
{
    return std::any_of(this->held.begin(), this->held.end(), [this](const auto &entry) { return entry.second.first >= this->quorum; });
}

std::optional<FleetMessages::ClaimRecord> ClaimRound::holderLocked() const
{
    // Members that failed or haven't answered may hold any attempt.
    const std::size_t unknown = this->members - this->granted - this->refused;
    for (const std::pair<const std::string, std::pair<std::size_t, FleetMessages::ClaimRecord>> &entry : this->held) {
        if (entry.second.first + unknown + maximumRosterVersionDifference >= this->quorum) {
            return entry.second.second;
        }
    }
    return std::nullopt;
}

ClaimResult ClaimRound::result() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ClaimResult result;
    if (this->granted >= this->quorum) {
        result.kind = ClaimResult::Kind::Granted;
        return result;
    }
    const std::optional<FleetMessages::ClaimRecord> holder = this->done ? this->done : this->holderLocked();
    if (!holder) {
        return result;
    }
    if (holder->fingerprint() != this->fingerprint) {
        result.kind = ClaimResult::Kind::FingerprintMismatch;
    } else if (this->done) {
        result.kind = ClaimResult::Kind::Finished;
        result.outcome = this->done->outcome();
    } else {
        result.kind = ClaimResult::Kind::InProgress;
    }
    return result;
}

bool ClaimRound::isAmbiguous() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->granted < this->quorum && !this->done.has_value() && !this->heldByQuorumLocked();
}

void ClaimRound::waitUntil(SteadyTime deadline) const
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_until(lock, deadline, [this] { return this->decidedLocked(); });
}

} // namespace Hyssophall
