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

void FakeStore::handle(Testbed::HttpExchangeContext &context)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    if (m_mode == StoreMode::Unavailable) {
        Testbed::sendResponse(context.response, unavailable, "{}");
        return;
    }
    const Poco::Net::HTMLForm query(context.request);
    const auto path = context.request.getURI();
    nlohmann::json response = {{"ver", m_version}};
    if (path.starts_with("/rows-tx")) {
        transact(Testbed::readBody(context.request));
    } else if (path.starts_with("/rows-get")) {
        response = read(query.get("table"));
    } else {
        const std::chrono::milliseconds wait(std::stoul(query.get("wait_ms")));
        response = feed(query.get("table"), std::stoull(query.get("after")), wait);
    }
    if (m_mode == StoreMode::LoseResponses)
        Testbed::resetConnection(context);
    else
        Testbed::sendResponse(context.response, ok, response.dump());
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
    auto rows = nlohmann::json::array();
    const auto collect = [&] {
        for (const auto &[key, row] : m_tables[table]) {
            if (row.version > after)
                rows.push_back({{"key", key},
                                {"value", encodeBase64(row.value)},
                                {"ver", row.version},
                                {"deleted", row.isDeleted}});
        }
        return !rows.empty();
    };
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
