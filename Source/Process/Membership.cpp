#include "Process/Process.h"

#include <algorithm>
#include <tuple>

namespace Sapphireladder {

namespace {

bool isLater(const Member &a, const Member &b)
{
    return std::tie(a.incarnation, a.heartbeat) > std::tie(b.incarnation, b.heartbeat);
}

} // namespace

Membership::Membership(Member self)
    : m_self(std::move(self))
{}

void Membership::stop()
{
    m_self.stopping = true;
    advanceHeartbeat();
}

MemberChange Membership::merge(const Member &member, TimePoint now)
{
    if (member.vm == m_self.vm) {
        // The wall clock was set back, so an earlier start has used a higher incarnation.
        if (isLater(member, m_self))
            m_self.incarnation = member.incarnation + 1;
        return MemberChange::None;
    }
    auto &record = m_records[member.vm];
    const bool isNew = record.member.vm.isEmpty();
    if (!isNew && !isLater(member, record.member))
        return MemberChange::None;
    const bool joined = isNew || record.lost;
    record = {member, now, false};
    if (m_records.size() > maxRecords)
        evictOldest();
    return joined ? MemberChange::Joined : MemberChange::HeartbeatAdvanced;
}

bool Membership::isUnknown(const VmId &vm) const
{
    const auto it = m_records.find(vm);
    return it == m_records.end() || it->second.lost;
}

void Membership::evictOldest()
{
    const auto it = std::min_element(
            m_records.begin(), m_records.end(),
            [](const auto &a, const auto &b) { return a.second.updatedAt < b.second.updatedAt; });
    m_records.erase(it);
}

std::vector<Member> Membership::takeNewlyLost(TimePoint now)
{
    std::vector<Member> lost;
    for (auto &[vm, record] : m_records) {
        if (record.lost || now - record.updatedAt < heartbeatTimeout)
            continue;
        record.lost = true;
        lost.push_back(record.member);
    }
    return lost;
}

std::vector<Member> Membership::liveMembers(TimePoint now) const
{
    std::vector<Member> members;
    for (const auto &[vm, record] : m_records) {
        if (now - record.updatedAt < heartbeatTimeout)
            members.push_back(record.member);
    }
    return members;
}

std::vector<Endpoint> Membership::choosePeers(std::size_t count, std::span<const Endpoint> seeds,
                                              TimePoint now, RandomSource &random) const
{
    std::vector<Endpoint> peers;
    const auto takeFrom = [&](std::vector<Endpoint> choices) {
        while (peers.size() < count && !choices.empty()) {
            std::swap(choices[random.below(choices.size())], choices.back());
            const auto &choice = choices.back();
            if (choice != m_self.endpoint
                && std::find(peers.begin(), peers.end(), choice) == peers.end())
                peers.push_back(choice);
            choices.pop_back();
        }
    };
    std::vector<Endpoint> members;
    for (const auto &it : liveMembers(now)) {
        if (!it.stopping)
            members.push_back(it.endpoint);
    }
    takeFrom(std::move(members));
    takeFrom({seeds.begin(), seeds.end()});
    return peers;
}

} // namespace Sapphireladder
