#include "Process/Http/ProcessHttp.h"

#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>

namespace Sapphireladder {

namespace {

using nlohmann::json;

constexpr std::string_view memberTable = "members";

std::string shardPrefix(unsigned shard)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    static_assert(digits.size() == MemberStore::shardCount);
    return std::string(1, digits[shard]) + "/";
}

/** The shard is the first hex digit of the name's digest: evenly spread, and equal on every VM. */
std::string rowKey(const VmId &vm)
{
    return digestOf(vm.view()).string().substr(0, 1) + "/" + vm.string();
}

std::optional<Member> parseMember(const json &object)
{
    try {
        const auto endpoint = Endpoint::parse(object.at("endpoint").get<std::string>());
        if (!endpoint)
            return std::nullopt;
        return Member{VmId(object.at("vm").get<std::string>()),
                      object.at("incarnation").get<std::uint64_t>(),
                      endpoint.value(),
                      ZoneName(object.at("zone").get<std::string>()),
                      object.at("heartbeat").get<std::uint64_t>(),
                      object.at("stopping").get<bool>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

/** @return the entry, or nothing if it has no IP address with a port or is malformed. */
std::optional<VmListEntry> parseVmListEntry(const json &object)
{
    try {
        const auto address = Endpoint::parse(object.at("address").get<std::string>());
        if (!address)
            return std::nullopt;
        return VmListEntry{address.value(), ServiceName(object.value("service", "")),
                           object.value("incarnation", std::uint64_t(0)),
                           object.at("state").get<std::string>() == "leaving"};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

WriteResult MemberStoreClient::write(const Member &member)
{
    const json object = {{"vm", member.vm.string()},
                         {"incarnation", member.incarnation},
                         {"endpoint", member.endpoint.toString()},
                         {"zone", member.zone.string()},
                         {"heartbeat", member.heartbeat},
                         {"stopping", member.stopping}};
    return m_tables.put(memberTable, rowKey(member.vm), object.dump());
}

Result<std::vector<Member>> MemberStoreClient::readShard(unsigned shard)
{
    TRY_ASSIGN(rows, m_tables.list(memberTable, shardPrefix(shard)));
    std::vector<Member> members;
    for (const auto &it : rows) {
        // A malformed row must not hide the others.
        if (auto member = parseMember(json::parse(it.value, nullptr, false)))
            members.push_back(std::move(*member));
    }
    return members;
}

WriteResult MemberStoreClient::remove(const VmId &vm, std::string_view tag)
{
    return m_tables.remove(memberTable, rowKey(vm), tag);
}

Result<std::vector<VmListEntry>> VmListClient::read()
{
    const auto result = m_client.call({"GET", "/vms", {}, {}});
    const auto *response = std::get_if<CompleteResponse>(&result);
    if (!response || response->head.status != Poco::Net::HTTPResponse::HTTP_OK)
        return makeError(ProcessError::StoreUnavailable, "/vms");
    const auto array = json::parse(response->body, nullptr, false);
    if (!array.is_array())
        return makeError(ProcessError::StoreResponseInvalid, "/vms");
    std::vector<VmListEntry> entries;
    for (const auto &it : array) {
        if (auto entry = parseVmListEntry(it))
            entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace Sapphireladder
