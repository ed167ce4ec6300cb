#pragma once

#include "Testbed/PlatformData.h"
#include "Testbed/PlatformFaults.h"
#include "Testbed/StopEvent.h"
#include "Testbed/TestHttpServer.h"

#include <atomic>
#include <mutex>

namespace Sapphireladder::Testbed {

/**
 * An in-memory fake of the platform: table service, object store and VM list. POST /faults,
 * PUT /vms and GET /counters control the fake and are exempt from its faults.
 */
class FakePlatform
{
public:
    explicit FakePlatform(const Endpoint &endpoint, const PlatformFaults &faults = {});
    ~FakePlatform();

    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    /** A call to the platform, with the faults that apply to it. */
    struct Call
    {
        HttpExchangeContext &context;
        std::vector<std::string> segments;
        std::string body;
        PlatformFaults faults;
        bool isWrite = false;
    };
    /** Maps a method, first path segment and number of segments to a handler. */
    struct Route
    {
        std::string_view method;
        std::string_view firstSegment;
        std::size_t segmentCount;
        void (FakePlatform::*handle)(Call &call);
    };

    static std::span<const Route> controlRoutes();
    static std::span<const Route> platformRoutes();

    void handle(HttpExchangeContext &context);
    bool route(std::span<const Route> routes, Call &call);
    /** Applies outages and delays before the call takes effect. @return whether to serve it. */
    bool applyFaults(const Call &call);
    PlatformFaults faultsFor(const std::string &path);

    void changeFaults(Call &call);
    void setVmList(Call &call);
    void showCounters(Call &call);

    void readRow(Call &call);
    void putRow(Call &call);
    void removeRow(Call &call);
    void listRows(Call &call);
    void readObject(Call &call);
    void putObject(Call &call);
    void showVmList(Call &call);
    /** Sends the response to a write, or closes the connection to simulate a lost response. */
    void finishWrite(const Call &call, const WriteResult &result);

    StopEvent m_stop;
    PlatformData m_data;
    std::atomic<std::uint64_t> m_reads{0};
    std::atomic<std::uint64_t> m_writes{0};

    std::mutex m_mutex;
    PlatformFaults m_faults;
    RandomSource m_random;

    TestHttpServer m_server;
};

} // namespace Sapphireladder::Testbed
