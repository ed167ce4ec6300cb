#include "Store.h"

namespace Review {

namespace {

using Json = nlohmann::json;

std::string encodeBase64(std::string_view bytes)
{
    static constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            group <<= 8U;
            if (i + n < bytes.size())
                group |= static_cast<unsigned char>(bytes[i + n]);
        }
        for (std::size_t n = 0; n < 4; ++n)
            text += i + n > bytes.size() ? '=' : digits[(group >> (18 - 6 * n)) & 63U];
    }
    return text;
}

/** @return the value of a query parameter. The values of these calls need no decoding. */
std::string parameter(const std::string &target, const std::string &name)
{
    for (const char *separator : {"?", "&"}) {
        const auto start = target.find(separator + name + '=');
        if (start == std::string::npos)
            continue;
        const auto valueStart = start + name.size() + 2;
        return target.substr(valueStart, target.find('&', valueStart) - valueStart);
    }
    return {};
}

} // namespace

unsigned Store::addVm(const std::string &vm)
{
    m_servers.push_back(std::make_unique<HttpServer>(
            [this, vm](HttpConnection &connection) { serve(vm, connection); }));
    return m_servers.back()->port();
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    store(table, key, {encodeBase64(value), 0, false});
}

void Store::remove(const std::string &table, const std::string &key)
{
    store(table, key, {{}, 0, true});
}

void Store::store(const std::string &table, const std::string &key, Row row)
{
    {
        const std::lock_guard lock(m_mutex);
        row.version = ++m_version;
        m_tables[table][key] = std::move(row);
    }
    m_changed.notify_all();
}

void Store::setSilent(const std::string &vm, bool isSilent)
{
    const std::lock_guard lock(m_mutex);
    if (isSilent)
        m_silentVms.insert(vm);
    else
        m_silentVms.erase(vm);
    m_record.add("store " + std::string(isSilent ? "stops" : "resumes") + " responding to " + vm);
}

bool Store::isSilent(const std::string &vm)
{
    const std::lock_guard lock(m_mutex);
    return m_silentVms.contains(vm);
}

std::string Store::lastFollower(const std::string &table)
{
    const std::lock_guard lock(m_mutex);
    return m_lastFollowers[table];
}

void Store::serve(const std::string &vm, HttpConnection &connection)
{
    constexpr Milliseconds maxIdleTime = std::chrono::minutes(5);
    HttpMessage request;
    while (connection.read(request, maxIdleTime) == ReadResult::Complete) {
        const bool isLost = isSilent(vm);
        const auto response = respond(vm, request);
        if (isLost || isSilent(vm)) {
            m_record.add("store gives " + vm + " no response to " + request.startLine);
            connection.discardInput();
            return;
        }
        if (!connection.write(
                    encodeResponse(200, "Content-Type: application/json\r\n", response.dump())))
            return;
    }
}

nlohmann::json Store::respond(const std::string &vm, const HttpMessage &request)
{
    const auto target = request.target();
    const auto table = parameter(target, "table");
    Json response;
    if (target.starts_with(writeCall)) {
        for (const auto &it : Json::parse(request.body)["puts"])
            store(it["table"], it["key"], {it["value"].get<std::string>(), 0, false});
        const std::lock_guard lock(m_mutex);
        response = {{"ver", m_version}};
    } else if (target.starts_with(readCall)) {
        response = read(table);
    } else {
        {
            const std::lock_guard lock(m_mutex);
            m_lastFollowers[table] = vm;
        }
        const Milliseconds wait(std::stoul(parameter(target, "wait_ms")));
        response = follow(table, std::stoull(parameter(target, "after")), wait);
    }
    response["now_ms"] = static_cast<std::uint64_t>(m_record.now() * 1000);
    return response;
}

nlohmann::json Store::read(const std::string &table)
{
    const std::lock_guard lock(m_mutex);
    auto rows = Json::array();
    for (const auto &[key, row] : m_tables[table]) {
        if (!row.isDeleted)
            rows.push_back({{"table", table},
                            {"part", ""},
                            {"key", key},
                            {"value", row.value},
                            {"ver", row.version}});
    }
    return {{"rows", rows}, {"ver", m_version}, {"truncated", false}};
}

nlohmann::json Store::follow(const std::string &table, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    auto rows = Json::array();
    m_changed.wait_for(lock, wait, [&] {
        std::map<std::uint64_t, Json> changes;
        for (const auto &[key, row] : m_tables[table]) {
            if (row.version <= after)
                continue;
            Json change = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.isDeleted)
                change["deleted"] = true;
            else
                change["value"] = row.value;
            changes.emplace(row.version, std::move(change));
        }
        for (const auto &[version, change] : changes)
            rows.push_back(change);
        return !rows.empty();
    });
    return {{"rows", rows}, {"ver", m_version}};
}

} // namespace Review
