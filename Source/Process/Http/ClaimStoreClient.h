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

    ClaimWriteResult insert(const ClaimKey &key, const Claim &claim) override;
    ClaimReadResult read(const ClaimKey &key) override;
    ClaimWriteResult record(const ClaimKey &key, const Claim &claim, std::string_view tag) override;
    ClaimWriteResult release(const ClaimKey &key, std::string_view tag) override;

private:
    TableService &m_tables;
};

} // namespace Sapphireladder
