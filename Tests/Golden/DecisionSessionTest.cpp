#include "Process/ServiceFixture.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Golden");

/** Records each decision of a session that runs on a manual clock with a fixed seed. */
struct DecisionSessionFixture : ServiceFixture
{
    std::ostream &line()
    {
        return transcript << std::setw(6) << toMilliseconds(clock.now().time_since_epoch()) << " ";
    }

    Request &send(RequestClass requestClass = RequestClass::Urgent,
                  Duration timeout = defaultTimeout)
    {
        auto &request = arrive(requestClass, timeout);
        request.info.id = RequestId("r" + std::to_string(requests.size()));
        line() << request.info.id << " arrives "
               << (requestClass == RequestClass::Urgent ? "urgent" : "deferrable") << ": "
               << decisionOf(request) << '\n';
        return request;
    }

    void endRequest(const Request &request, std::string_view text, const AttemptResult &result)
    {
        line() << request.info.id << " ends at " << request.target() << ": " << text << '\n';
        finish(request, result);
        const auto failure = failureOf(result);
        if (!failure)
            return;
        const auto retry = decideRetry(
                *failure, {request.info, policy().retry, 1, clock.now(), 10ms}, budget);
        line() << request.info.id
               << " retry: " << std::visit([](auto reason) { return nameOf(reason); }, retry)
               << '\n';
    }

    void recordDecision(const Request &request)
    {
        line() << request.info.id << " now: " << decisionOf(request) << '\n';
    }

    void advance(Duration duration)
    {
        clock.advance(duration);
        tick();
        recordState();
    }

    /** Records the events since the last call and the current availability of each target. */
    void recordState()
    {
        for (const auto &it : events)
            line() << "event " << it << '\n';
        events.clear();
        line() << "verdicts";
        for (const auto &it : view->targets) {
            transcript << ' ' << it.spec->id << '=';
            if (!it.availability.isUsable())
                transcript << (it.availability.leaving ? "leaving" : "ejected");
            else
                transcript << it.availability.rampWeight;
        }
        transcript << '\n';
    }

    static std::string decisionOf(const Request &request)
    {
        if (!request.pending.decision())
            return "waits";
        if (request.lease())
            return "goes to " + request.target();
        return "refused "
               + std::string(nameOf(std::get<RefusalReason>(*request.pending.decision())));
    }

    /** Compares the transcript with the golden file; SAPPHIRELADDER_REWRITE_GOLDEN rewrites it
     * first. */
    void compareWith(const std::string &file)
    {
        const auto path = std::string(SOURCE_FOLDER "/Tests/Golden/") + file;
        if (std::getenv("SAPPHIRELADDER_REWRITE_GOLDEN"))
            std::ofstream(path) << transcript.str();
        std::ostringstream committed;
        committed << std::ifstream(path).rdbuf();
        CHECK(transcript.str() == committed.str());
    }

    RetryBudget budget{RetryPolicy{}};
    std::ostringstream transcript;
};

// Guards against unintended changes of decisions that no other test covers.
TEST_CASE_FIXTURE(DecisionSessionFixture, "decisions, session with faults, match the golden file")
{
    addTargets(3, 1);
    switchPreset();
    recordState();
    const auto &first = send();
    const auto &second = send();
    const auto &third = send();
    const auto &deferrable = send(RequestClass::Deferrable);
    const auto &urgent = send();
    clock.advance(20ms);
    endRequest(first, "answered", answered(20ms));
    recordDecision(urgent);
    send(RequestClass::Urgent, 5ms);
    endRequest(second, "shed", {NotRun{RetryReason::Shed}, LoadReport{1, 1}, false, 1ms});
    recordDecision(deferrable);
    endRequest(urgent, "answered", answered(15ms));

    // The target of the third request restarts; the late response comes from its old incarnation.
    const auto restartedTarget = third.target();
    targetTracker.markLive(policy().name, TargetId(restartedTarget), 1, clock.now());
    targetTracker.markLive(policy().name, TargetId(restartedTarget), 2, clock.now());
    advance(2s);
    auto lateResult = answered(2s);
    lateResult.draining = true;
    endRequest(third, "late answer with a draining mark", lateResult);
    advance(100ms);

    auto drainingResult = answered(10ms);
    drainingResult.draining = true;
    endRequest(deferrable, "answered with a draining mark", drainingResult);
    send();
    advance(100ms);
    targetTracker.markLive(policy().name, TargetId(deferrable.target()), 1, clock.now());
    advance(100ms);

    addTargets(2, 2);
    switchPreset();
    line() << "preset switch\n";
    recordState();

    // A flapping target fails again after each ejection.
    const auto flapping = static_cast<std::size_t>(
            std::find_if(view->targets.begin(), view->targets.end(),
                         [](const auto &it) { return it.availability.isUsable(); })
            - view->targets.begin());
    for (int i = 0; i < 2; ++i) {
        observe(flapping, ObservedOutcome::Fault, 5);
        advance(100ms);
        for (int n = 0; n < 4; ++n)
            advance(1s);
    }
    for (int i = 0; i < 6; ++i) {
        const auto &request = send();
        if (request.lease())
            endRequest(request, "reset", {Unknown{UnknownReason::ConnectionReset}, {}, false, 1ms});
        advance(3s);
    }
    compareWith("decisions.txt");
}

TEST_SUITE_END();
