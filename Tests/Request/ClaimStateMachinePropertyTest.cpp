#include "Request/Request.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>

using namespace Sapphireladder;
using namespace std::chrono_literals;

namespace {

/** Reads the choices of one schedule from a list of bytes; past its end, every choice is 0. */
class Choices
{
public:
    explicit Choices(const std::vector<std::uint8_t> &bytes)
        : m_bytes(bytes)
    {}

    bool isEmpty() const { return m_next == m_bytes.size(); }
    std::size_t below(std::size_t bound) { return isEmpty() ? 0 : m_bytes[m_next++] % bound; }

private:
    const std::vector<std::uint8_t> &m_bytes;
    std::size_t m_next = 0;
};

enum class OperationKind {
    Insert,
    Read,
    Record,
    Release,
};

/** One call to the simulated table, which the network may delay for any time. */
struct Operation
{
    /** Index of the request that sent it. */
    std::size_t requestIndex = 0;
    OperationKind kind = OperationKind::Insert;
    Claim claim;
    std::string tag;
};

/** One request with the key under test, on one VM. */
struct SimulatedRequest
{
    explicit SimulatedRequest(Claim claim, TimePoint start)
        : machine(std::move(claim), start)
    {}

    ClaimStateMachine machine;
    std::size_t vm = 0;
    /** Waits for the result of an operation. */
    bool isWaiting = false;
    OperationKind awaited = OperationKind::Insert;
    /** An attempt passed the age check but was not sent yet. */
    bool hasCheckedAge = false;
    unsigned attempts = 0;
    unsigned runs = 0;
    std::optional<RequestOutcome> outcome;
};

/** Simulates several VMs, one row of the table service, and targets in one thread. */
class SimulatedFleet
{
public:
    explicit SimulatedFleet(Choices &choices)
        : m_choices(choices)
        , m_killed(2 + choices.below(3))
    {}

    void run()
    {
        while (!m_choices.isEmpty())
            step();
        // All delayed writes take effect, and all VMs that were not killed finish their requests.
        while (std::any_of(m_requests.begin(), m_requests.end(),
                           [this](const auto &it) { return canStep(it); })
               || !m_network.empty()) {
            if (!m_network.empty())
                apply(0, true);
            for (std::size_t i = 0; i < m_requests.size(); ++i)
                stepRequest(i);
        }
    }

    unsigned runs() const { return m_runs; }
    const std::deque<SimulatedRequest> &requests() const { return m_requests; }

private:
    using Step = void (SimulatedFleet::*)();

    void step()
    {
        static constexpr Step steps[] = {
                &SimulatedFleet::accept,  &SimulatedFleet::stepAny,      &SimulatedFleet::stepAny,
                &SimulatedFleet::stepAny, &SimulatedFleet::applyAny,     &SimulatedFleet::applyAny,
                &SimulatedFleet::timeOut, &SimulatedFleet::dropAny,      &SimulatedFleet::rejectAny,
                &SimulatedFleet::pause,   &SimulatedFleet::loseResponse, &SimulatedFleet::kill,
        };
        (this->*steps[m_choices.below(std::size(steps))])();
    }

    /** A caller sends a request with the key, or a duplicate, to a VM. */
    void accept()
    {
        if (m_requests.size() == 8)
            return;
        const auto vm = m_choices.below(m_killed.size());
        const ContentDigest fingerprint(m_choices.below(8) == 0 ? "other" : "same");
        const auto id = "claim-" + std::to_string(m_requests.size());
        m_requests.emplace_back(Claim{ClaimId(id), fingerprint, VmId("vm"), std::nullopt}, m_now);
        m_requests.back().vm = vm;
    }

    void stepAny()
    {
        if (!m_requests.empty())
            stepRequest(m_choices.below(m_requests.size()));
    }

    bool canStep(const SimulatedRequest &request) const
    {
        return !request.outcome && !m_killed[request.vm];
    }

    void stepRequest(std::size_t index)
    {
        auto &request = m_requests[index];
        if (!canStep(request))
            return;
        if (request.isWaiting) {
            // If the network holds no operation of it, only a timeout ends the wait.
            if (m_choices.isEmpty() && !isInNetwork(index))
                endWait(index, ClaimWriteResult{ClaimWriteStatus::Unknown, {}},
                        ClaimReadError::ReadFailed);
            return;
        }
        auto &machine = request.machine;
        if (machine.action() == ClaimAction::Insert)
            send(index, {index, OperationKind::Insert, machine.claim(), {}});
        else if (machine.action() == ClaimAction::Read)
            send(index, {index, OperationKind::Read, {}, {}});
        else if (machine.state() == ClaimState::Settled)
            request.outcome = machine.outcome();
        else if (request.hasCheckedAge)
            attempt(index);
        else if (machine.state() == ClaimState::Held)
            beginAttempt(index);
        else if (machine.state() == ClaimState::MayHaveRun)
            request.outcome = Unknown{UnknownReason::ConnectionReset};
    }

    void beginAttempt(std::size_t index)
    {
        auto &request = m_requests[index];
        const bool shouldGiveUp = request.attempts == 3 || m_choices.below(6) == 5;
        if (!shouldGiveUp && request.machine.beginAttempt(m_now)) {
            request.hasCheckedAge = true;
            return;
        }
        if (request.machine.canRelease())
            send(index, {index, OperationKind::Release, {}, std::string(request.machine.tag())});
        else
            request.outcome = Refusal{RefusalReason::ClaimExpired};
    }

    /** Sends the attempt, any time after the age check. */
    void attempt(std::size_t index)
    {
        auto &request = m_requests[index];
        request.hasCheckedAge = false;
        ++request.attempts;
        AttemptResult result{NotRun{}, std::nullopt, false, {}};
        switch (m_choices.below(5)) {
        case 0:
        case 1:
            runAtTarget(request);
            request.machine.attemptEnded({Answered{response()}, std::nullopt, false, {}});
            record(index);
            return;
        case 2:
            runAtTarget(request);
            result.outcome = Unknown{};
            break;
        case 3:
            result.outcome = Unknown{};
            break;
        default:
            break;
        }
        request.machine.attemptEnded(result);
    }

    void record(std::size_t index)
    {
        auto &request = m_requests[index];
        if (!request.machine.canRecord()) {
            request.outcome = response();
            return;
        }
        auto claim = request.machine.claim();
        claim.response = recordedResponseOf(response());
        send(index, {index, OperationKind::Record, claim, std::string(request.machine.tag())});
    }

    static Response response() { return {200, {{"content-type", "text/plain"}}, "paid"}; }

    void runAtTarget(SimulatedRequest &request)
    {
        ++request.runs;
        ++m_runs;
    }

    void send(std::size_t index, Operation operation)
    {
        m_requests[index].isWaiting = true;
        m_requests[index].awaited = operation.kind;
        m_network.push_back(std::move(operation));
    }

    bool isInNetwork(std::size_t index) const
    {
        return std::any_of(m_network.begin(), m_network.end(),
                           [index](const auto &it) { return it.requestIndex == index; });
    }

    void applyAny()
    {
        if (!m_network.empty())
            apply(m_choices.below(m_network.size()), true);
    }

    /** The operation takes effect, but its response is lost. */
    void loseResponse()
    {
        if (!m_network.empty())
            apply(m_choices.below(m_network.size()), false);
    }

    void apply(std::size_t position, bool isAnswered)
    {
        const auto operation = takeFromNetwork(position);
        ClaimWriteResult write{ClaimWriteStatus::ConditionFailed, {}};
        ClaimReadResult read = ClaimReadError::NoRow;
        const bool hasMatchingTag = m_row && m_row->tag == operation.tag;
        if (operation.kind == OperationKind::Read && m_row) {
            read = *m_row;
        } else if ((operation.kind == OperationKind::Insert && !m_row)
                   || (operation.kind == OperationKind::Record && hasMatchingTag)) {
            m_row = {operation.claim, std::to_string(++m_lastTag)};
            write = {ClaimWriteStatus::Written, m_row->tag};
        } else if (operation.kind == OperationKind::Release && hasMatchingTag) {
            m_row.reset();
            write = {ClaimWriteStatus::Written, {}};
        }
        if (isAnswered)
            endWait(operation.requestIndex, write, read, operation.kind);
    }

    Operation takeFromNetwork(std::size_t position)
    {
        auto operation = m_network[position];
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
        return operation;
    }

    /** The request stops waiting; its operation may still take effect. */
    void timeOut()
    {
        if (m_requests.empty())
            return;
        endWait(m_choices.below(m_requests.size()), ClaimWriteResult{ClaimWriteStatus::Unknown, {}},
                ClaimReadError::ReadFailed);
    }

    /** The network loses the operation, so that the request times out. */
    void dropAny()
    {
        if (!m_network.empty())
            takeFromNetwork(m_choices.below(m_network.size()));
    }

    void rejectAny()
    {
        if (m_network.empty())
            return;
        const auto operation = takeFromNetwork(m_choices.below(m_network.size()));
        endWait(operation.requestIndex, ClaimWriteResult{ClaimWriteStatus::NotWritten, {}},
                ClaimReadError::ReadFailed, operation.kind);
    }

    void pause() { m_now += 700ms * m_choices.below(6); }

    void kill()
    {
        // Rare, so that enough VMs are left in most schedules.
        if (m_choices.below(6) == 0)
            m_killed[m_choices.below(m_killed.size())] = true;
    }

    /** @param kind operation of the response; a response that is no longer awaited is dropped */
    void endWait(std::size_t index, const ClaimWriteResult &write, const ClaimReadResult &read,
                 std::optional<OperationKind> kind = std::nullopt)
    {
        auto &request = m_requests[index];
        if (!canStep(request) || !request.isWaiting || (kind && *kind != request.awaited))
            return;
        request.isWaiting = false;
        if (request.awaited == OperationKind::Insert)
            request.machine.insertCompleted(write);
        else if (request.awaited == OperationKind::Read)
            request.machine.readCompleted(read);
        else if (request.awaited == OperationKind::Record)
            request.outcome = response();
        else
            request.outcome = Refusal{RefusalReason::TargetUnreachable};
    }

    Choices &m_choices;
    std::vector<bool> m_killed;
    TimePoint m_now{};
    std::deque<SimulatedRequest> m_requests;
    std::vector<Operation> m_network;
    std::optional<StoredClaim> m_row;
    std::uint64_t m_lastTag = 0;
    unsigned m_runs = 0;
};

constexpr std::size_t scheduleSize = 160;

/** @return number of schedules; SAPPHIRELADDER_CLAIM_SCHEDULES overrides it for long runs. */
int scheduleCount()
{
    const char *text = std::getenv("SAPPHIRELADDER_CLAIM_SCHEDULES");
    return text ? std::atoi(text) : 20000;
}

/** Number of schedules that reached each kind of outcome, to show that the property is not vacuous.
 */
struct Coverage
{
    unsigned withRun = 0;
    unsigned withAnsweredDuplicate = 0;
    unsigned withRefusalAndRun = 0;
    unsigned withAlreadyAccepted = 0;
    unsigned withoutRunButAccepted = 0;
};

struct ClaimPropertyFixture
{
    void checkSchedule(const std::vector<std::uint8_t> &bytes)
    {
        Choices choices(bytes);
        SimulatedFleet fleet(choices);
        fleet.run();
        RC_ASSERT(fleet.runs() <= 1U);
        unsigned answered = 0;
        unsigned refused = 0;
        unsigned accepted = 0;
        for (const auto &it : fleet.requests()) {
            if (!it.outcome)
                continue;
            if (const auto *unknown = std::get_if<Unknown>(&*it.outcome)) {
                accepted += unknown->reason == UnknownReason::AlreadyAccepted;
            } else if (std::holds_alternative<Refusal>(*it.outcome)) {
                ++refused;
                RC_ASSERT(it.runs == 0U);
            } else {
                ++answered;
                RC_ASSERT(fleet.runs() == 1U);
                RC_ASSERT(it.machine.claim().fingerprint.string() == executedFingerprint(fleet));
            }
        }
        coverage.withRun += fleet.runs() == 1;
        coverage.withAnsweredDuplicate += answered > 1;
        coverage.withRefusalAndRun += refused > 0 && fleet.runs() == 1;
        coverage.withAlreadyAccepted += accepted > 0;
        coverage.withoutRunButAccepted += accepted > 0 && fleet.runs() == 0;
    }

    static std::string executedFingerprint(const SimulatedFleet &fleet)
    {
        for (const auto &it : fleet.requests()) {
            if (it.runs > 0)
                return it.machine.claim().fingerprint.string();
        }
        return {};
    }

    Coverage coverage;
};

} // namespace

TEST_SUITE_BEGIN("Request");

// Guards against running two requests with one key, and against "not run" for a request that ran or
// still runs, under any order of lost responses, delayed writes, timeouts, pauses and kills.
TEST_CASE_FIXTURE(ClaimPropertyFixture,
                  "claim state machine, any schedule, runs a key at most once")
{
    rc::detail::TestParams params;
    params.maxSuccess = scheduleCount();
    const char *seed = std::getenv("SAPPHIRELADDER_CLAIM_SEED");
    params.seed = seed ? std::strtoull(seed, nullptr, 10) : 1;
    const auto property = [this] {
        checkSchedule(*rc::gen::container<std::vector<std::uint8_t>>(
                scheduleSize, rc::gen::inRange<std::uint8_t>(0, 252)));
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
    MESSAGE("schedules ", params.maxSuccess, ", with a run ", coverage.withRun,
            ", with an answered duplicate ", coverage.withAnsweredDuplicate,
            ", with a refusal and a run ", coverage.withRefusalAndRun,
            ", with \"already accepted\" ", coverage.withAlreadyAccepted,
            ", of these without a run ", coverage.withoutRunButAccepted);
    CHECK(coverage.withRun > 0);
    CHECK(coverage.withAnsweredDuplicate > 0);
    CHECK(coverage.withRefusalAndRun > 0);
    CHECK(coverage.withAlreadyAccepted > 0);
    CHECK(coverage.withoutRunButAccepted > 0);
}

TEST_SUITE_END();
