// Targets in trouble send bytes without end in place of a few of their answers: heads of short
// fields, one after the other.
#include "../standin-2/Standin.h"

#include <thread>

using namespace Standin;

namespace {

constexpr int targetCount = 4;
/** Half of the targets: the share that the bench's `garble` has if none is stated. */
constexpr int targetsInTrouble = 2;
/** One of 50 answers, 2 %: the figure that `garble` has if none is stated. */
constexpr int answersPerSpoiled = 50;
constexpr Milliseconds workTime(40);
constexpr int slowCallerCount = 3;
constexpr std::int64_t troubleFromMs = 4000;
constexpr std::int64_t troubleToMs = 9000;
constexpr std::int64_t lengthMs = 15000;

/** @return one of the heads. Each is below 64 KiB. */
std::string makeOddHead()
{
    constexpr std::size_t headBytes = 65000;
    std::string text = "HTTP/1.1 102 Processing\r\nx: =?\r\n";
    while (text.size() < headBytes)
        text += "a:\r\n";
    return text + "\r\n";
}

/** What the targets in trouble share. */
struct Trouble
{
    Record &record;
    const bool isEnabled;
    std::atomic<std::int64_t> startMs = 0;
    std::mutex mutex{};
    int answers = 0;

    /**
     * @return whether the answer of a target in trouble is a spoiled one: the first to a request of
     * the slower route after each 49 others
     */
    bool spoils(const Message &request)
    {
        const auto now = nowMs() - startMs;
        if (!isEnabled || startMs == 0 || now < troubleFromMs || now >= troubleToMs)
            return false;
        const std::lock_guard lock(mutex);
        if (++answers < answersPerSpoiled || !request.secondWord().starts_with("/pull/"))
            return false;
        answers = 0;
        return true;
    }

    void sendWithoutEnd(Connection &connection, const Target &target, const Message &request)
    {
        static const auto head = makeOddHead();
        std::size_t bytes = 0;
        record.line("target " + target.id() + " ran " + request.field("attempt-id")
                    + " and sends bytes without end");
        while (connection.send(head))
            bytes += head.size();
        record.line("target " + target.id() + " sent " + std::to_string(bytes)
                    + " bytes until the other side closed");
    }
};

/** Sends requests of the slower route, as a tenth of the traffic. */
void runSlowCaller(Deployment &deployment, int caller, std::int64_t untilMs)
{
    constexpr std::int64_t deadlineMs = 5000;
    constexpr Milliseconds pause(200);
    std::unique_ptr<Connection> connection;
    for (int n = 0; nowMs() < untilMs; ++n) {
        const auto id = "p" + std::to_string(caller) + "-" + std::to_string(n);
        if (!connection)
            connection = Connection::open(deployment.callerPort());
        if (!connection || !connection->send(encodeRequest("GET", "/pull/x", id, deadlineMs))
            || !connection->receive(Milliseconds(deadlineMs)))
            connection.reset();
        std::this_thread::sleep_for(pause);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = Arguments::parse(argc, argv);
    if (!arguments)
        return couldNotRun;
    Record record(arguments->recordFile);
    Trouble trouble{record, arguments->hasTrouble};
    Deployment deployment(*arguments, record);
    std::vector<Target *> targets;
    targets.reserve(targetCount);
    for (int i = 0; i < targetCount; ++i)
        targets.push_back(&deployment.addTarget([&, i](auto &connection, const auto &request) {
            const auto &self = *targets[static_cast<std::size_t>(i)];
            std::this_thread::sleep_for(workTime);
            if (i < targetsInTrouble && trouble.spoils(request)) {
                trouble.sendWithoutEnd(connection, self, request);
                return false;
            }
            return connection.send(self.success(request));
        }));
    if (!deployment.start())
        endProgram(deployment, couldNotRun);
    trouble.startMs = nowMs();
    std::vector<std::thread> slowCallers;
    slowCallers.reserve(slowCallerCount);
    for (int i = 0; i < slowCallerCount; ++i)
        slowCallers.emplace_back(
                [&, i] { runSlowCaller(deployment, i, trouble.startMs + lengthMs); });
    CallerLoad load(deployment, record);
    constexpr int callers = 25;
    constexpr std::int64_t intervalMs = 250;
    load.run(callers, intervalMs, lengthMs);
    for (auto &it : slowCallers)
        it.join();
    if (!deployment.isRunning())
        record.line("the process has ended");
    endProgram(deployment, load.conclude());
}
