#include "Process/Process.h"

#include <algorithm>
#include <limits>

namespace Sapphireladder {

namespace {

// Upper bounds in bytes of what the encoding adds to the strings: tags, lengths and numbers.
constexpr std::size_t memberOverhead = 36;
constexpr std::size_t markOverhead = 24;
constexpr std::size_t activePresetOverhead = 20;

std::size_t sizeOf(const Member &member)
{
    return memberOverhead + member.vm.view().size() + member.endpoint.toString().size()
           + member.zone.view().size();
}

std::size_t sizeOf(const TargetMark &mark)
{
    return markOverhead + mark.service.view().size() + mark.target.view().size();
}

std::size_t sizeOf(const ActivePreset &activePreset)
{
    return activePresetOverhead + activePreset.preset.view().size()
           + activePreset.digest.view().size();
}

/** Appends the newest items that fit and are below the transmission limit. @return bytes used. */
template<typename Map, typename Item>
std::size_t takeNewest(Map &entries, std::size_t space, unsigned maxTransmissions,
                       std::vector<Item> &out)
{
    std::vector<typename Map::mapped_type *> newest;
    for (auto &[key, value] : entries) {
        if (value.transmissions < maxTransmissions)
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
        ++it->transmissions;
        out.push_back(it->item);
    }
    return used;
}

} // namespace

void DigestBuilder::updateMember(const Member &member)
{
    m_members[member.vm] = {member, ++m_sequence, 0};
}

void DigestBuilder::removeMember(const VmId &vm)
{
    m_members.erase(vm);
}

void DigestBuilder::updateMark(const TargetMark &mark)
{
    m_marks[{mark.service, mark.target}] = {mark, ++m_sequence, 0};
}

Digest DigestBuilder::build(const Member &sender, const ActivePreset &applied, DigestScope scope)
{
    Digest digest;
    digest.sender = sender;
    digest.applied.version = applied.version;
    digest.applied.digest = applied.digest;
    const auto fixedSize = encodedSizeBound(digest);
    const auto space = maxEncodedBytes - std::min(fixedSize, maxEncodedBytes);
    // Marks are few, and unlike heartbeats a mark that a VM missed is not followed by another.
    constexpr auto unlimited = std::numeric_limits<unsigned>::max();
    const auto used = takeNewest(m_marks, space / 2, unlimited, digest.marks);
    takeNewest(m_members, space - used,
               scope == DigestScope::AllMembers ? unlimited : maxTransmissions, digest.members);
    return digest;
}

std::size_t DigestBuilder::encodedSizeBound(const Digest &digest)
{
    auto size = sizeOf(digest.sender) + sizeOf(digest.applied);
    for (const auto &it : digest.members)
        size += sizeOf(it);
    for (const auto &it : digest.marks)
        size += sizeOf(it);
    return size;
}

} // namespace Sapphireladder
