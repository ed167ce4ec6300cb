#include "Process/Http/ProcessHttp.h"

namespace Sapphireladder {

namespace {

constexpr std::string_view claimTable = "claims";

std::string rowKey(const ClaimKey &key)
{
    return std::string(key.service) + "/" + std::string(key.key);
}

ClaimWriteStatus toClaimWriteStatus(WriteStatus status)
{
    switch (status) {
    case WriteStatus::Written:
        return ClaimWriteStatus::Written;
    case WriteStatus::ConditionFailed:
        return ClaimWriteStatus::ConditionFailed;
    case WriteStatus::NotWritten:
        return ClaimWriteStatus::NotWritten;
    case WriteStatus::Unknown:
        break;
    }
    return ClaimWriteStatus::Unknown;
}

ClaimWriteResult toClaimWriteResult(WriteResult result)
{
    return {toClaimWriteStatus(result.status), std::move(result.tag)};
}

} // namespace

ClaimWriteResult ClaimStoreClient::insert(const ClaimKey &key, const Claim &claim)
{
    return toClaimWriteResult(m_tables.insert(claimTable, rowKey(key), encodeClaim(claim)));
}

ClaimReadResult ClaimStoreClient::read(const ClaimKey &key)
{
    auto row = m_tables.read(claimTable, rowKey(key));
    if (!row)
        return ClaimReadError::ReadFailed;
    if (!row.value())
        return ClaimReadError::NoRow;
    auto claim = decodeClaim(row.value()->value);
    if (!claim)
        return ClaimReadError::InvalidClaim;
    return StoredClaim{std::move(claim.value()), std::move(row.value()->tag)};
}

ClaimWriteResult ClaimStoreClient::record(const ClaimKey &key, const Claim &claim,
                                          std::string_view tag)
{
    return toClaimWriteResult(m_tables.update(claimTable, rowKey(key), encodeClaim(claim), tag));
}

ClaimWriteResult ClaimStoreClient::release(const ClaimKey &key, std::string_view tag)
{
    return toClaimWriteResult(m_tables.remove(claimTable, rowKey(key), tag));
}

} // namespace Sapphireladder
