#pragma once

#include "Record.h"

#include <memory>
#include <string>

namespace Review {

/** A request of a caller. */
struct CallerRequest
{
    std::string method = "GET";
    std::string path;
    std::string id;
    unsigned deadlineMs = 1500;
    std::string body;
};

/** How a request ended, as its caller saw it. */
struct CallerResult
{
    /** Status of the complete response, or 0 if there was none. */
    int status = 0;
    /** Times since the start of the scenario. */
    double sentAt = 0;
    double endedAt = 0;
    /** Whether the response bears a target's signature. */
    bool isSigned = false;
    std::string body;
};

/** A caller with one kept connection to a VM. */
class Caller
{
public:
    static constexpr const char *host = "deposits.example";

    Caller(unsigned port, Record &record)
        : m_port(port)
        , m_record(record)
    {}

    /** Sends a request and waits for its response until the caller's deadline. */
    CallerResult send(const CallerRequest &request);

private:
    unsigned m_port;
    Record &m_record;
    std::unique_ptr<HttpConnection> m_connection;
};

} // namespace Review
