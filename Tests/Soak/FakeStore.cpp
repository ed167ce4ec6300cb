#include "Soak/FakeStore.h"

#include "Core/Encoding/CoreEncoding.h"

#include <Poco/Net/HTMLForm.h>

namespace Sapphireladder::Soak {

namespace {

std::int64_t clockMs()
{
    return toMilliseconds(SteadyClock().now().time_since_epoch());
}

} // namespace

FakeStore::FakeStore()
    : m_server({"127.0.0.1", 0}, [this](Testbed::HttpExchangeContext &it) { handle(it); })
{}

void FakeStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = {value, ++m_version, false};
    }
    m_changed.notify_all();
}

void FakeStore::remove(const std::string &table, const std::string &key)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = {{}, ++m_version, true};
    }
    m_changed.notify_all();
}

void FakeStore::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copiedTables = m_tables;
    m_copiedVersion = m_version;
}

void FakeStore::returnFromCopy()
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables = m_copiedTables;
        m_version = m_copiedVersion;
        ++m_era;
    }
    m_changed.notify_all();
}

void FakeStore::handle(Testbed::HttpExchangeContext &context)
{
    constexpr unsigned ok = 200;
    constexpr unsigned gone = 410;
    constexpr unsigned unavailable = 503;
    if (m_mode == StoreMode::Unavailable) {
        Testbed::sendResponse(context.response, unavailable, "{}");
        return;
    }
    const Poco::Net::HTMLForm query(context.request);
    const auto path = context.request.getURI();
    nlohmann::json response = {{"ver", 0}};
    if (path.starts_with("/rows-tx")) {
        transact(Testbed::readBody(context.request));
    } else if (path.starts_with("/rows-get")) {
        response = read(query.get("table"));
    } else {
        const std::chrono::milliseconds wait(std::stoul(query.get("wait_ms")));
        response = feed(query.get("table"), std::stoull(query.get("after")), wait);
    }
    {
        const std::lock_guard lock(m_mutex);
        context.response.set("Store-Era", std::to_string(m_era));
    }
    if (m_mode == StoreMode::LoseResponses)
        Testbed::resetConnection(context);
    else
        Testbed::sendResponse(context.response, response.is_null() ? gone : ok, response.dump());
}

nlohmann::json FakeStore::read(const std::string &table)
{
    const std::lock_guard lock(m_mutex);
    auto rows = nlohmann::json::array();
    for (const auto &[key, row] : m_tables[table]) {
        if (!row.isDeleted)
            rows.push_back(
                    {{"key", key}, {"value", encodeBase64(row.value)}, {"ver", row.version}});
    }
    return {{"rows", rows}, {"ver", m_version}, {"now_ms", clockMs()}, {"truncated", false}};
}

nlohmann::json FakeStore::feed(const std::string &table, std::uint64_t after, Duration wait)
{
    std::unique_lock lock(m_mutex);
    const auto era = m_era;
    auto rows = nlohmann::json::array();
    const auto collect = [&] {
        // The long poll ends with the store's return, as its connection would.
        if (m_era != era)
            return true;
        for (const auto &[key, row] : m_tables[table]) {
            if (row.version > after)
                rows.push_back({{"key", key},
                                {"value", encodeBase64(row.value)},
                                {"ver", row.version},
                                {"deleted", row.isDeleted}});
        }
        return !rows.empty();
    };
    if (after > m_version)
        return nullptr;
    m_changed.wait_for(lock, wait, collect);
    return {{"rows", rows}, {"ver", m_version}, {"now_ms", clockMs()}};
}

void FakeStore::transact(const std::string &body)
{
    const auto object = nlohmann::json::parse(body);
    for (const auto &it : object["puts"])
        put(it["table"], it["key"], decodeBase64(std::string(it["value"])).value());
}

} // namespace Sapphireladder::Soak
