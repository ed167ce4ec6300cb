#include "Process/Process.h"

#include <algorithm>
#include <limits>

namespace Sapphireladder {

namespace {

// Upper bounds of what the encoding adds to an entry's strings: tags, lengths and numbers.
constexpr std::size_t memberOverhead = 36;
constexpr std::size_t markOverhead = 24;
constexpr std::size_t inForceOverhead = 20;

std::size_t sizeOf(const Member &member)
{
    return memberOverhead + member.vm.view().size() + member.endpoint.toString().size()
           + member.zone.view().size();
}

std::size_t sizeOf(const TargetMark &mark)
{
    return markOverhead + mark.service.view().size() + mark.target.view().size();
}

std::size_t sizeOf(const ActivePreset &inForce)
{
    return inForceOverhead + inForce.preset.view().size() + inForce.digest.view().size();
}

/** Appends the newest items that fit and were told fewer times than the limit. @return bytes used.
 */
template<typename Map, typename Item>
std::size_t takeNewest(Map &noted, std::size_t space, unsigned tellLimit, std::vector<Item> &out)
{
    std::vector<typename Map::mapped_type *> newest;
    for (auto &[key, value] : noted) {
        if (value.told < tellLimit)
            newest.push_back(&value);
    }
    std::sort(newest.begin(), newest.end(),
              [](const auto *a, const auto *b) { return a->sequence > b->sequence; });
    std::size_t used = 0;
    for (auto *it : newest) {
        const auto size = sizeOf(it->item);
        if (used + size > space)
            break;
        used += size;
        ++it->told;
        out.push_back(it->item);
    }
    return used;
}

} // namespace

void DigestState::noteMember(const Member &member)
{
    m_members[member.vm] = {member, ++m_sequence, 0};
}

void DigestState::forgetMember(const VmId &vm)
{
    m_members.erase(vm);
}

void DigestState::noteMark(const TargetMark &mark)
{
    m_marks[{mark.service, mark.target}] = {mark, ++m_sequence, 0};
}

Digest DigestState::build(const Member &sender, const ActivePreset &inForce, DigestExtent extent)
{
    Digest digest;
    digest.sender = sender;
    digest.inForce.version = inForce.version;
    digest.inForce.digest = inForce.digest;
    const auto fixed = sizeBound(digest);
    const auto space = sizeLimit - std::min(fixed, sizeLimit);
    // Marks are few, and one that a VM missed has no later report that would repeat it.
    constexpr auto unlimited = std::numeric_limits<unsigned>::max();
    const auto used = takeNewest(m_marks, space / 2, unlimited, digest.marks);
    takeNewest(m_members, space - used, extent == DigestExtent::Everything ? unlimited : tellLimit,
               digest.members);
    return digest;
}

std::size_t DigestState::sizeBound(const Digest &digest)
{
    auto size = sizeOf(digest.sender) + sizeOf(digest.inForce);
    for (const auto &it : digest.members)
        size += sizeOf(it);
    for (const auto &it : digest.marks)
        size += sizeOf(it);
    return size;
}

} // namespace Sapphireladder
