#include "Connection/RawSocket.h"
#include "Process/Loop/ProcessLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;

TEST_SUITE_BEGIN("Process");

struct ConnectionListenerFixture
{
    static Endpoint freeEndpoint()
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return {"127.0.0.1", socket.address().port()};
    }

    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    std::vector<TcpSocket> accepted;
    ConnectionListener listener{
            context, [this](TcpSocket socket) { accepted.push_back(std::move(socket)); }};
    const Endpoint endpoint = freeEndpoint();
};

// Guards against a planned stop under load that resets connections which the kernel has just
// accepted, with requests of callers that get no answer.
TEST_CASE_FIXTURE(ConnectionListenerFixture,
                  "connection listener, closed with pending connections, passes them on")
{
    REQUIRE(listener.listen(endpoint));
    std::vector<RawSocket> callers;
    for (int i = 0; i < 5; ++i) {
        callers.emplace_back(endpoint);
        callers.back().send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    listener.close();
    CHECK(accepted.size() == callers.size());
    io.run();
    CHECK(accepted.size() == callers.size());
}

TEST_SUITE_END();
