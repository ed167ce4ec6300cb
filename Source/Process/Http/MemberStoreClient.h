#pragma once

#include "Process/Http/PlatformClient.h"

namespace Sapphireladder {

/** Stores heartbeats as JSON rows `members/<shard>/<vm>` of the table service. */
class MemberStoreClient final : public MemberStore
{
public:
    /** @param tables must outlive the object */
    explicit MemberStoreClient(TableService &tables)
        : m_tables(tables)
    {}

    WriteResult write(const Member &member) override;
    Result<std::vector<Member>> readShard(unsigned shard) override;
    WriteResult remove(const VmId &vm, std::string_view tag) override;

private:
    TableService &m_tables;
};

/** Reads the platform's VM list over HTTP. */
class VmListClient final : public VmList
{
public:
    /** @param client must outlive the object */
    explicit VmListClient(PlatformClient &client)
        : m_client(client)
    {}

    Result<std::vector<VmListEntry>> read() override;

private:
    PlatformClient &m_client;
};

} // namespace Sapphireladder
