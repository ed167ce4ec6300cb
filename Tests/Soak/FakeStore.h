#pragma once

#include "Testbed/Testbed.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Soak {

/** Fault mode of the fake store. */
enum class StoreMode {
    Healthy,
    /** Responds to every call with status 503. */
    Unavailable,
    /** Executes calls but resets the connection instead of responding. */
    LoseResponses,
};

/** An in-memory fake of the platform's store: versioned rows and a long-polling change feed. */
class FakeStore
{
public:
    FakeStore();

    Endpoint endpoint() const { return m_server.endpoint(); }
    void setMode(StoreMode mode) { m_mode = mode; }
    /** Writes a row, as the operator or a target would. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** Keeps a copy of all rows for returnFromCopy(). */
    void takeCopy();
    /** The store comes back from its copy, in a new era. Versions are given out again. */
    void returnFromCopy();

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    using Tables = std::map<std::string, std::map<std::string, Row>>;

    void handle(Testbed::HttpExchangeContext &context);
    nlohmann::json read(const std::string &table);
    /**
     * Waits for changes.
     * @return the rows that changed after the version, or null if the store does not have it
     */
    nlohmann::json feed(const std::string &table, std::uint64_t after, Duration wait);
    /** Executes the writes of a transaction. @param body JSON text */
    void transact(const std::string &body);

    std::atomic<StoreMode> m_mode = StoreMode::Healthy;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 0;
    Tables m_tables;
    Tables m_copiedTables;
    std::uint64_t m_copiedVersion = 1;
    Testbed::TestHttpServer m_server;
};

} // namespace Sapphireladder::Soak
