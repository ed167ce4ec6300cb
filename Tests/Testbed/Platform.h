#pragma once

#include "Testbed/HttpStandin.h"

#include <map>
#include <mutex>

namespace Sapphireladder::Testbed {

/** A stand-in for the platform: table service, object store and VM list, in memory. */
class Platform
{
public:
    explicit Platform(const Endpoint &endpoint);

    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    struct Row
    {
        std::string value;
        std::uint64_t tag = 0;
    };
    using Table = std::map<std::string, Row>;

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleRow(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                   const std::string &table, const std::string &key);
    void handleList(Poco::Net::HTTPServerResponse &response, const std::string &table,
                    const std::string &prefix);
    void handleObject(Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response, const std::string &name);

    std::mutex m_mutex;
    std::map<std::string, Table> m_tables;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_nextTag = 1;
    HttpStandin m_server;
};

} // namespace Sapphireladder::Testbed
