#include "Process/Loop/ProcessLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

/** A pool of two sessions, whose requests are not answered. */
struct SessionPoolFixture
{
    class Handler final : public RequestHandler
    {
    public:
        std::shared_ptr<PendingRequestHandle> handle(CallerRequest, ReplyHandler reply) override
        {
            replies.push_back(std::move(reply));
            return nullptr;
        }
        void recordInvalidRequest(RefusalReason) override {}
        const RequestLimits &limits() const override { return requestLimits; }
        bool isStopping() const override { return false; }

        std::vector<ReplyHandler> replies;
        RequestLimits requestLimits;
    };

    /** Connects a caller that sends the text. @return whether the pool took the connection. */
    bool connect(std::string_view text)
    {
        auto &client = clients.emplace_back(io);
        client.connect(acceptor.local_endpoint());
        client.write_some(boost::asio::buffer(text));
        const bool isAccepted = pool.accept(acceptor.accept(), handler);
        io.restart();
        io.run_for(20ms);
        return isAccepted;
    }

    bool isOpen(std::size_t client)
    {
        boost::system::error_code ec;
        std::array<char, 16> buf{};
        clients[client].non_blocking(true);
        clients[client].read_some(boost::asio::buffer(buf), ec);
        return ec == boost::asio::error::would_block;
    }

    static constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    Handler handler;
    SessionPool pool{context, 2};
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    std::vector<TcpSocket> clients;
};

// Guards against a crowd of idle connections that keeps ordinary callers out.
TEST_CASE_FIXTURE(SessionPoolFixture, "session pool, full, closes the longest inactive session")
{
    CHECK(connect("GET / HT"));
    CHECK(connect(""));
    CHECK(connect(request));
    CHECK_FALSE(isOpen(0));
    CHECK(isOpen(1));
    CHECK(handler.replies.size() == 1);
    CHECK(pool.size() == 2);
    CHECK(pool.shedCount() == 1);
}

// Guards against a connection that is closed while a target works on its request.
TEST_CASE_FIXTURE(SessionPoolFixture,
                  "session pool, all serve requests, refuses the new connection")
{
    CHECK(connect(request));
    CHECK(connect(request));
    CHECK_FALSE(connect(request));
    CHECK(isOpen(0));
    CHECK(isOpen(1));
}

TEST_CASE("caller connection limit, from the limit of descriptors, leaves some for targets")
{
    CHECK(callerConnectionLimit(3000, 0) == 3000);
    CHECK(callerConnectionLimit(3000, 100000) == 3000);
    CHECK(callerConnectionLimit(3000, 256) == 144);
    CHECK(callerConnectionLimit(3000, 4100) == 3000);
    CHECK(callerConnectionLimit(3000, 64) == 1);
}

TEST_SUITE_END();
