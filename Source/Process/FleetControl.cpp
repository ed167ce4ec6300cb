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
    // Jitter of 25 % desynchronizes VMs that started together.
    return duration_cast<Duration>(interval * (0.75 + 0.5 * m_random.unit()));
}

void FleetControl::tick(const ActivePreset &applied, TimePoint now)
{
    if (m_isStopped)
        return;
    dropLostMembers(now);
    exchangeIfDue(applied, now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + jittered(m_settings.heartbeatInterval);
        m_membership.advanceHeartbeat();
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
        // A random first delay spreads the reads of VMs that started together, so that one of
        // them sees a change of the list within a fraction of the interval.
        const bool isFirst = m_nextVmListRead == TimePoint{};
        m_nextVmListRead = now
                           + (isFirst ? duration_cast<Duration>(vmListInterval * m_random.unit())
                                      : jittered(vmListInterval));
        m_actions.readVmList();
    }
}

void FleetControl::exchangeIfDue(const ActivePreset &applied, TimePoint now)
{
    const bool isRequestDue = m_isExchangeRequested && now >= m_nextRequestedExchange;
    if (now < m_nextExchange && !isRequestDue)
        return;
    m_isExchangeRequested = false;
    m_nextRequestedExchange = now + minExchangeInterval;
    m_nextExchange = now + jittered(m_settings.digestInterval);
    const auto message = m_digestBuilder.build(self(), applied);
    for (const auto &it : m_membership.choosePeers(fanOut, m_settings.seedPeers, now, m_random))
        m_actions.exchange(it, message);
}

void FleetControl::dropLostMembers(TimePoint now)
{
    for (const auto &it : m_membership.takeNewlyLost(now)) {
        m_digestBuilder.removeMember(it.vm);
        m_events.record(EventId::PeerLost, {{"vm", it.vm.string()}});
    }
}

bool FleetControl::merge(const Digest &digest, TimePoint now)
{
    m_senderIsNew = m_membership.isUnknown(digest.sender.vm);
    merge(std::span(&digest.sender, 1), now);
    merge(digest.members, now);
    bool changed = false;
    for (const auto &it : digest.marks)
        changed = merge(it) || changed;
    return changed;
}

void FleetControl::merge(std::span<const Member> members, TimePoint now)
{
    for (const auto &it : members) {
        const auto change = m_membership.merge(it, now);
        if (change == MemberChange::None)
            continue;
        m_digestBuilder.updateMember(it);
        if (change == MemberChange::Joined)
            m_events.record(EventId::PeerJoined,
                            {{"vm", it.vm.string()}, {"endpoint", it.endpoint.toString()}});
    }
}

bool FleetControl::merge(const TargetMark &mark)
{
    const auto before = m_marks.find(mark.service, mark.target);
    if (!m_marks.merge(mark))
        return false;
    const bool wasLeaving = before && before->leaving;
    // A live target is only worth announcing if other VMs may still consider it leaving.
    if (!mark.leaving && !wasLeaving)
        return false;
    m_digestBuilder.updateMark(mark);
    m_isExchangeRequested = true;
    if (mark.leaving != wasLeaving)
        m_events.record(mark.leaving ? EventId::TargetLeaving : EventId::TargetReturned,
                        {{"service", mark.service.string()},
                         {"target", mark.target.string()},
                         {"incarnation", std::to_string(mark.incarnation)}});
    return true;
}

Digest FleetControl::createReply(const ActivePreset &applied)
{
    return m_digestBuilder.build(self(), applied,
                                 m_senderIsNew ? DigestScope::AllMembers : DigestScope::Updates);
}

std::vector<Endpoint> FleetControl::peers(TimePoint now)
{
    return m_membership.choosePeers(maxNotifiedPeers, m_settings.seedPeers, now, m_random);
}

void FleetControl::announcePreset(const ActivePreset &activePreset, TimePoint now)
{
    for (const auto &it : peers(now))
        m_actions.pushPreset(it, activePreset);
}

void FleetControl::stop(const ActivePreset &applied, TimePoint now)
{
    m_isStopped = true;
    m_membership.stop();
    const auto message = m_digestBuilder.build(self(), applied);
    for (const auto &it : peers(now))
        m_actions.exchange(it, message);
    m_actions.removeHeartbeat(self());
}

} // namespace Sapphireladder
