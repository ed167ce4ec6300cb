#include "Process/Process.h"

namespace Sapphireladder {

FleetControl::FleetControl(const Settings &settings, Member self, RandomSource random,
                           PeerActions &actions, EventSink &events)
    : m_settings(settings)
    , m_random(random)
    , m_actions(actions)
    , m_events(events)
    , m_membership(std::move(self))
    , m_shard(static_cast<unsigned>(m_random.below(MemberStore::shardCount)))
{}

Duration FleetControl::jittered(Duration interval)
{
    // Jitter of 25 % keeps VMs that started together apart.
    return duration_cast<Duration>(interval * (0.75 + 0.5 * m_random.unit()));
}

void FleetControl::tick(const ActivePreset &applied, TimePoint now)
{
    if (m_stopped)
        return;
    dropSilentMembers(now);
    exchangeIfDue(applied, now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + jittered(m_settings.heartbeatInterval);
        m_membership.beat();
        m_actions.writeHeartbeat(self());
    }
    if (now >= m_nextShardRead) {
        const bool isFirstRound = m_shardsRead < MemberStore::shardCount;
        m_nextShardRead = now
                          + (isFirstRound ? firstShardInterval
                                          : jittered(m_settings.heartbeatInterval));
        m_actions.readMembers(m_shard);
        m_shard = (m_shard + 1) % MemberStore::shardCount;
        ++m_shardsRead;
    }
    if (now >= m_nextVmListRead) {
        // VMs that started together would otherwise all read at the same moment, and a change of
        // the list would wait for a whole interval instead of a share of it.
        const bool isFirst = m_nextVmListRead == TimePoint{};
        m_nextVmListRead = now
                           + (isFirst ? duration_cast<Duration>(vmListInterval * m_random.unit())
                                      : jittered(vmListInterval));
        m_actions.readVmList();
    }
}

void FleetControl::exchangeIfDue(const ActivePreset &applied, TimePoint now)
{
    const bool isHurried = m_hurry && now >= m_nextHurry;
    if (now < m_nextExchange && !isHurried)
        return;
    m_hurry = false;
    m_nextHurry = now + hurryInterval;
    m_nextExchange = now + jittered(m_settings.digestInterval);
    const auto message = m_digests.build(self(), applied);
    for (const auto &it : m_membership.choosePeers(fanOut, m_settings.seedPeers, now, m_random))
        m_actions.exchange(it, message);
}

void FleetControl::dropSilentMembers(TimePoint now)
{
    for (const auto &it : m_membership.takeLost(now)) {
        m_digests.forgetMember(it.vm);
        m_events.record(EventId::PeerLost, {{"vm", it.vm.string()}});
    }
}

bool FleetControl::hear(const Digest &digest, TimePoint now)
{
    m_senderIsNew = m_membership.isUnknown(digest.sender.vm);
    hear(std::span(&digest.sender, 1), now);
    hear(digest.members, now);
    bool changed = false;
    for (const auto &it : digest.marks)
        changed = hear(it) || changed;
    return changed;
}

void FleetControl::hear(std::span<const Member> members, TimePoint now)
{
    for (const auto &it : members) {
        const auto news = m_membership.hear(it, now);
        if (news == MemberNews::None)
            continue;
        m_digests.noteMember(it);
        if (news == MemberNews::Joined)
            m_events.record(EventId::PeerJoined,
                            {{"vm", it.vm.string()}, {"endpoint", it.endpoint.toString()}});
    }
}

bool FleetControl::hear(const TargetMark &mark)
{
    const auto before = m_marks.find(mark.service, mark.target);
    if (!m_marks.hear(mark))
        return false;
    const bool wasLeaving = before && before->leaving;
    // That a target is live is no news to others unless they may hold it for leaving.
    if (!mark.leaving && !wasLeaving)
        return false;
    m_digests.noteMark(mark);
    m_hurry = true;
    if (mark.leaving != wasLeaving)
        m_events.record(mark.leaving ? EventId::TargetLeaving : EventId::TargetReturned,
                        {{"service", mark.service.string()},
                         {"target", mark.target.string()},
                         {"incarnation", std::to_string(mark.incarnation)}});
    return true;
}

Digest FleetControl::answer(const ActivePreset &applied)
{
    return m_digests.build(self(), applied,
                           m_senderIsNew ? DigestExtent::Everything : DigestExtent::News);
}

std::vector<Endpoint> FleetControl::peers(TimePoint now)
{
    return m_membership.choosePeers(pushLimit, m_settings.seedPeers, now, m_random);
}

void FleetControl::push(const ActivePreset &inForce, TimePoint now)
{
    for (const auto &it : peers(now))
        m_actions.pushPreset(it, inForce);
}

void FleetControl::stop(const ActivePreset &applied, TimePoint now)
{
    m_stopped = true;
    m_membership.stop();
    const auto message = m_digests.build(self(), applied);
    for (const auto &it : peers(now))
        m_actions.exchange(it, message);
    m_actions.removeHeartbeat(self());
}

} // namespace Sapphireladder
