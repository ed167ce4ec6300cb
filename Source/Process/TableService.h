#pragma once

#include "Core/Core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** One row of the platform's table service. */
struct TableRow
{
    std::string key;
    std::string value;
    /** Changes with each write of the row. */
    std::string tag;
};

/** Outcome of a conditional write. */
enum class WriteStatus {
    Written,
    /** The condition was not met. Nothing was written. */
    ConditionFailed,
    /** The service did not accept the write. Nothing was written. */
    NotWritten,
    /** The response was lost. The write may have taken effect, or may still do so. */
    Unknown,
};

/** Result of a conditional write. */
struct WriteResult
{
    WriteStatus status = WriteStatus::Unknown;
    /** New tag of the row. */
    std::string tag;
};

/** The platform's table service. Calls block; implementations are thread-safe. */
class TableService
{
public:
    virtual ~TableService() = default;
    /** @return the row, nothing if it does not exist, or ProcessError::StoreUnavailable. */
    virtual Result<std::optional<TableRow>> read(std::string_view table, std::string_view key) = 0;
    /** @return all rows whose key starts with the prefix, ordered by key. */
    virtual Result<std::vector<TableRow>> list(std::string_view table, std::string_view prefix) = 0;
    /** Writes a row if it does not exist. */
    virtual WriteResult insert(std::string_view table, std::string_view key,
                               std::string_view value) = 0;
    /** Writes a row if it has the tag. */
    virtual WriteResult update(std::string_view table, std::string_view key, std::string_view value,
                               std::string_view tag) = 0;
    /** Writes a row unconditionally. */
    virtual WriteResult put(std::string_view table, std::string_view key,
                            std::string_view value) = 0;
    /** Deletes a row if it has the tag. */
    virtual WriteResult remove(std::string_view table, std::string_view key,
                               std::string_view tag) = 0;
};

/** The platform's object store. Calls block; implementations are thread-safe. */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    /** @return the object, nothing if it does not exist, or ProcessError::StoreUnavailable. */
    virtual Result<std::optional<std::string>> get(std::string_view name) = 0;
    /** Stores an object. Idempotent for the same content. */
    virtual Result<> put(std::string_view name, std::string_view content) = 0;
};

} // namespace Sapphireladder
