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

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    void handle(Testbed::HttpExchangeContext &context);
    nlohmann::json read(const std::string &table);
    /** Waits for changes. @return the rows that changed after the version. */
    nlohmann::json feed(const std::string &table, std::uint64_t after, Duration wait);
    /** Executes the writes of a transaction. @param body JSON text */
    void transact(const std::string &body);

    std::atomic<StoreMode> m_mode = StoreMode::Healthy;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 1;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    Testbed::TestHttpServer m_server;
};

} // namespace Sapphireladder::Soak
