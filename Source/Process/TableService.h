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

/** How a conditional write ended. */
enum class WriteStatus {
    Written,
    /** The row was not as the condition says. Nothing was written. */
    ConditionFailed,
    /** The service did not take the write. Nothing was written. */
    NotWritten,
    /** The answer was lost. The write may have taken effect, or may still do so. */
    Unknown,
};

/** End of a conditional write. */
struct WriteResult
{
    WriteStatus status = WriteStatus::Unknown;
    /** Tag of the row that was written. */
    std::string tag;
};

/** The platform's table service. Calls block; implementations are safe for several threads. */
class TableService
{
public:
    virtual ~TableService() = default;
    /** @return the row, nothing if it does not exist, or ProcessError::StoreUnavailable. */
    virtual Result<std::optional<TableRow>> read(std::string_view table, std::string_view key) = 0;
    /** @return all rows whose key starts with the prefix, ordered by key. */
    virtual Result<std::vector<TableRow>> list(std::string_view table, std::string_view prefix) = 0;
    /** Writes a row on condition that it does not exist. */
    virtual WriteResult insert(std::string_view table, std::string_view key,
                               std::string_view value) = 0;
    /** Writes a row on condition that it has the tag. */
    virtual WriteResult update(std::string_view table, std::string_view key, std::string_view value,
                               std::string_view tag) = 0;
    /** Writes a row without a condition. */
    virtual WriteResult put(std::string_view table, std::string_view key,
                            std::string_view value) = 0;
    /** Deletes a row on condition that it has the tag. */
    virtual WriteResult remove(std::string_view table, std::string_view key,
                               std::string_view tag) = 0;
};

/** The platform's object store. Calls block; implementations are safe for several threads. */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    /** @return the object, nothing if it does not exist, or ProcessError::StoreUnavailable. */
    virtual Result<std::optional<std::string>> get(std::string_view name) = 0;
    /** Stores an object. Repeating it with the same content is harmless. */
    virtual Result<> put(std::string_view name, std::string_view content) = 0;
};

} // namespace Sapphireladder
