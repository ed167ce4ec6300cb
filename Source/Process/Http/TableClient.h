#pragma once

#include "Process/Http/PlatformClient.h"

namespace Sapphireladder {

/**
 * Accesses the table service by conditional HTTP requests (RFC 9110): a row is a resource, its tag
 * is the ETag, and conditional writes carry If-Match or If-None-Match.
 */
class TableClient final : public TableService
{
public:
    /** @param client must outlive the object */
    explicit TableClient(PlatformClient &client)
        : m_client(client)
    {}

    Result<std::optional<TableRow>> read(std::string_view table, std::string_view key) override;
    Result<std::vector<TableRow>> list(std::string_view table, std::string_view prefix) override;
    WriteResult insert(std::string_view table, std::string_view key,
                       std::string_view value) override;
    WriteResult update(std::string_view table, std::string_view key, std::string_view value,
                       std::string_view tag) override;
    WriteResult put(std::string_view table, std::string_view key, std::string_view value) override;
    WriteResult remove(std::string_view table, std::string_view key, std::string_view tag) override;

private:
    WriteResult write(const PlatformRequest &request);

    PlatformClient &m_client;
};

/** Accesses the object store over HTTP. */
class ObjectClient final : public ObjectStore
{
public:
    /** @param client must outlive the object */
    explicit ObjectClient(PlatformClient &client)
        : m_client(client)
    {}

    Result<std::optional<std::string>> get(std::string_view name) override;
    Result<> put(std::string_view name, std::string_view content) override;

private:
    PlatformClient &m_client;
};

} // namespace Sapphireladder
