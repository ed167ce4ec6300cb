#include "Testbed/Testbed.h"

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace Sapphireladder::Testbed {

namespace {

std::string formatTag(std::uint64_t tag)
{
    return "\"" + std::to_string(tag) + "\"";
}

/** @return segments of the path, decoded. */
std::vector<std::string> pathSegments(const std::string &uri)
{
    // Split before decoding, since a key may hold an encoded slash.
    std::vector<std::string> segments;
    std::istringstream path(uri.substr(0, uri.find('?')));
    for (std::string it; std::getline(path, it, '/');) {
        if (!it.empty())
            Poco::URI::decode(it, segments.emplace_back());
    }
    return segments;
}

std::string queryValue(const std::string &uri, std::string_view name)
{
    for (const auto &[key, value] : Poco::URI(uri).getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace

Platform::Platform(const Endpoint &endpoint)
    : m_server(endpoint, [this](auto &request, auto &response) { handle(request, response); })
{}

void Platform::handle(Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response)
{
    const auto segments = pathSegments(request.getURI());
    if (segments.size() == 3 && segments[0] == "tables")
        handleRow(request, response, segments[1], segments[2]);
    else if (segments.size() == 2 && segments[0] == "tables")
        handleList(response, segments[1], queryValue(request.getURI(), "prefix"));
    else if (segments.size() == 2 && segments[0] == "objects")
        handleObject(request, response, segments[1]);
    else
        sendAnswer(response, 404, "");
}

void Platform::handleRow(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response, const std::string &table,
                         const std::string &key)
{
    const auto body = readBody(request);
    std::unique_lock lock(m_mutex);
    auto &rows = m_tables[table];
    const auto it = rows.find(key);
    const bool exists = it != rows.end();
    const bool conditionFails = (request.has("If-None-Match") && exists)
                                || (request.has("If-Match")
                                    && (!exists
                                        || request.get("If-Match") != formatTag(it->second.tag)));
    if (conditionFails) {
        lock.unlock();
        sendAnswer(response, 412, "");
        return;
    }
    if (request.getMethod() == "PUT") {
        rows[key] = {body, m_nextTag};
        response.set("ETag", formatTag(m_nextTag++));
        lock.unlock();
        sendAnswer(response, 200, "");
        return;
    }
    if (!exists) {
        lock.unlock();
        sendAnswer(response, 404, "");
        return;
    }
    const auto row = it->second;
    if (request.getMethod() == "DELETE")
        rows.erase(it);
    lock.unlock();
    response.set("ETag", formatTag(row.tag));
    sendAnswer(response, 200, request.getMethod() == "GET" ? row.value : "");
}

void Platform::handleList(Poco::Net::HTTPServerResponse &response, const std::string &table,
                          const std::string &prefix)
{
    auto array = nlohmann::json::array();
    {
        const std::lock_guard lock(m_mutex);
        const auto &rows = m_tables[table];
        for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.starts_with(prefix);
             ++it) {
            array.push_back({{"key", it->first},
                             {"value", it->second.value},
                             {"tag", formatTag(it->second.tag)}});
        }
    }
    sendAnswer(response, 200, array.dump());
}

void Platform::handleObject(Poco::Net::HTTPServerRequest &request,
                            Poco::Net::HTTPServerResponse &response, const std::string &name)
{
    const auto body = readBody(request);
    std::unique_lock lock(m_mutex);
    if (request.getMethod() == "PUT") {
        m_objects[name] = body;
        lock.unlock();
        sendAnswer(response, 200, "");
        return;
    }
    const auto it = m_objects.find(name);
    const bool exists = it != m_objects.end();
    const std::string content = exists ? it->second : "";
    lock.unlock();
    sendAnswer(response, exists ? 200 : 404, content);
}

} // namespace Sapphireladder::Testbed
