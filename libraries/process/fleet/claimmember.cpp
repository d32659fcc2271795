#include "process/fleet/claimmember.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds pageTimeout{500};

} // namespace

std::shared_ptr<ClaimMember> ClaimMember::create(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups)
{
    return std::shared_ptr<ClaimMember>(new ClaimMember(std::move(context), options, std::move(groups)));
}

ClaimMember::ClaimMember(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups)
    : context(std::move(context))
    , options(options)
    , groups(std::move(groups))
    , store(options, this->context.clock())
    , start(this->context.clock())
{
}

FleetMessages::ClaimReply ClaimMember::claim(const FleetMessages::ClaimRequest &request)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> present = this->groups->groupsWith(*roster, this->context.self);
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->context.clock();
    this->followRoster(*roster, *present, now);
    return this->store.claim(request, roster->version(), now);
}

FleetMessages::FinishClaimReply ClaimMember::finishClaim(const FleetMessages::FinishClaimRequest &request)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store.finish(request, this->context.clock());
    return {};
}

FleetMessages::RecoverClaimsReply ClaimMember::recoverClaims(const FleetMessages::RecoverClaimsRequest &request)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> present = this->groups->groupsWith(*roster, this->context.self);
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->context.clock();
    this->followRoster(*roster, *present, now);
    const std::string &member = request.member();
    FleetMessages::RecoverClaimsReply reply = this->store.page(
        request, [this, &roster, &member](std::uint32_t group) { return this->groups->committeeOf(*roster, group)->contains(member); }, now);
    reply.set_complete_source(this->memoryComplete);
    return reply;
}

void ClaimMember::step()
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> present = this->groups->groupsWith(*roster, this->context.self);
    std::vector<CatalogueMessages::Member> due;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->context.clock();
        this->followRoster(*roster, *present, now);
        this->finishGroups(*roster, now);
        this->startPasses(*roster, now);
        for (std::pair<const std::string, Pass> &pass : this->passes) {
            const CatalogueMessages::Member *source = roster->find(pass.first);
            if (source != nullptr && now >= pass.second.asked + pageTimeout) {
                pass.second.asked = now;
                due.push_back(*source);
            }
        }
    }
    for (const CatalogueMessages::Member &source : due) {
        this->askPage(source);
    }
}

void ClaimMember::followRoster(const Roster &roster, const std::set<std::uint32_t> &present, SteadyTime now)
{
    if (roster.find(this->context.self) == nullptr || (this->started && roster.version() == this->rosterVersion)) {
        return;
    }
    const bool fresh = !this->started && isAdmittedIncarnation(roster, this->context.self, this->context.incarnation);
    if (fresh) {
        this->memoryComplete = true;
    }
    for (const std::uint32_t group : present) {
        if (!fresh && !this->memberOf.contains(group)) {
            this->missing.try_emplace(group, Missing{now, {}});
        }
    }
    this->memberOf = present;
    this->rosterVersion = roster.version();
    this->started = true;
    this->publishRecovering();
}

std::size_t ClaimMember::neededSources(const Committee &committee)
{
    const std::size_t size = committee.members().size();
    const std::size_t meetingEachQuorum = size - committee.quorum() + 1;
    // In committees with quorums of two thirds, one source more covers claims that were granted while a change of the roster was on its way.
    return std::min(size - 1, size > 4 ? meetingEachQuorum + 1 : meetingEachQuorum);
}

void ClaimMember::finishGroups(const Roster &roster, SteadyTime now)
{
    for (auto current = this->missing.begin(); current != this->missing.end();) {
        const std::shared_ptr<const Committee> committee = this->groups->committeeOf(roster, current->first);
        const std::size_t sources = static_cast<std::size_t>(std::count_if(committee->members().begin(),
            committee->members().end(),
            [current](const CatalogueMessages::Member &member) { return current->second.sources.contains(member.id()); }));
        // Outside of the committee, the memory of a group isn't kept up; on its return the group recovers again.
        const bool over
            = !committee->contains(this->context.self) || sources >= neededSources(*committee) || now >= current->second.since + this->options.retention;
        current = over ? this->missing.erase(current) : std::next(current);
    }
    if (this->started && this->missing.empty()) {
        this->memoryComplete = true;
    }
    this->publishRecovering();
}

void ClaimMember::startPasses(const Roster &roster, SteadyTime now)
{
    std::map<std::string, std::set<std::uint32_t>> wanted;
    for (const std::pair<const std::uint32_t, Missing> &group : this->missing) {
        const std::shared_ptr<const Committee> committee = this->groups->committeeOf(roster, group.first);
        for (const CatalogueMessages::Member &member : committee->members()) {
            if (member.id() != this->context.self && !group.second.sources.contains(member.id())) {
                wanted[member.id()].insert(group.first);
            }
        }
    }
    std::erase_if(this->passes, [&wanted](const std::pair<const std::string, Pass> &pass) { return !wanted.contains(pass.first); });
    for (std::pair<const std::string, std::set<std::uint32_t>> &source : wanted) {
        this->passes.try_emplace(source.first, Pass{std::move(source.second), {}, roster.version(), now - pageTimeout});
    }
}

void ClaimMember::askPage(const CatalogueMessages::Member &source)
{
    FleetMessages::RecoverClaimsRequest request;
    request.set_member(this->context.self);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const auto pass = this->passes.find(source.id());
        if (pass == this->passes.end()) {
            return;
        }
        request.set_after_key_hash(pass->second.after);
    }
    const std::weak_ptr<ClaimMember> weak = this->weak_from_this();
    this->context.transport->recoverClaims(
        source.fleet_address(), request, pageTimeout, [weak, source](const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply) {
            const std::shared_ptr<ClaimMember> member = weak.lock();
            if (member != nullptr) {
                member->takePage(source, reply);
            }
        });
}

void ClaimMember::takePage(const CatalogueMessages::Member &source, const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply)
{
    if (!reply) {
        return;
    }
    bool askMore = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->context.clock();
        const auto pass = this->passes.find(source.id());
        // Records are worth having also from a member that has forgotten others.
        this->store.merge(*reply, now);
        if (pass == this->passes.end()) {
            return;
        }
        if (reply->more() && reply->records_size() > 0) {
            pass->second.after = std::max(pass->second.after, reply->records(reply->records_size() - 1).key_hash());
            pass->second.asked = now;
            askMore = true;
        } else {
            for (const std::uint32_t group : pass->second.groups) {
                const auto found = this->missing.find(group);
                if (reply->complete_source() && found != this->missing.end()) {
                    found->second.sources.insert(source.id());
                }
            }
            this->passes.erase(pass);
        }
    }
    if (askMore) {
        this->askPage(source);
    }
}

void ClaimMember::publishRecovering()
{
    std::set<std::uint32_t> recovering;
    for (const std::pair<const std::uint32_t, Missing> &group : this->missing) {
        recovering.insert(group.first);
    }
    this->store.setRecovering(std::move(recovering));
}

std::size_t ClaimMember::recoveringGroups() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->missing.size();
}

} // namespace Hyssophall
