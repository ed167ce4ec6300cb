#pragma once

#include "Process/TableService.h"
#include "Request/Request.h"

namespace Sapphireladder {

/** Stores claims as rows `claims/<service>/<key>` of the table service. */
class ClaimStoreClient final : public ClaimStore
{
public:
    /** @param tables must outlive the object */
    explicit ClaimStoreClient(TableService &tables)
        : m_tables(tables)
    {}

    ClaimWrite insert(const ClaimKey &key, const Claim &claim) override;
    ClaimRead read(const ClaimKey &key) override;
    ClaimWrite record(const ClaimKey &key, const Claim &claim, std::string_view tag) override;
    ClaimWrite release(const ClaimKey &key, std::string_view tag) override;

private:
    TableService &m_tables;
};

} // namespace Sapphireladder
