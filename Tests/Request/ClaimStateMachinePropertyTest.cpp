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
    std::size_t holder = 0;
    OperationKind kind = OperationKind::Insert;
    Claim claim;
    std::string tag;
};

/** One request with the key under test, on one VM. */
struct Holder
{
    explicit Holder(Claim claim, TimePoint start)
        : machine(std::move(claim), start)
    {}

    ClaimStateMachine machine;
    std::size_t vm = 0;
    /** Waits for the result of an operation. */
    bool isWaiting = false;
    OperationKind awaited = OperationKind::Insert;
    /** An attempt passed the age check but was not sent yet. */
    bool isAttemptChecked = false;
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
        while (std::any_of(m_holders.begin(), m_holders.end(),
                           [this](const auto &it) { return canStep(it); })
               || !m_network.empty()) {
            if (!m_network.empty())
                apply(0, true);
            for (std::size_t i = 0; i < m_holders.size(); ++i)
                stepHolder(i);
        }
    }

    unsigned runs() const { return m_runs; }
    const std::deque<Holder> &holders() const { return m_holders; }

private:
    using Step = void (SimulatedFleet::*)();

    void step()
    {
        static constexpr Step steps[] = {
                &SimulatedFleet::accept,  &SimulatedFleet::stepAny,    &SimulatedFleet::stepAny,
                &SimulatedFleet::stepAny, &SimulatedFleet::applyAny,   &SimulatedFleet::applyAny,
                &SimulatedFleet::timeOut, &SimulatedFleet::dropAny,    &SimulatedFleet::refuseAny,
                &SimulatedFleet::pause,   &SimulatedFleet::loseAnswer, &SimulatedFleet::kill,
        };
        (this->*steps[m_choices.below(std::size(steps))])();
    }

    /** A caller sends a request with the key, or a duplicate, to a VM. */
    void accept()
    {
        if (m_holders.size() == 8)
            return;
        const auto vm = m_choices.below(m_killed.size());
        const ContentDigest fingerprint(m_choices.below(8) == 0 ? "other" : "same");
        const auto id = "claim-" + std::to_string(m_holders.size());
        m_holders.emplace_back(Claim{ClaimId(id), fingerprint, VmId("vm"), std::nullopt}, m_now);
        m_holders.back().vm = vm;
    }

    void stepAny()
    {
        if (!m_holders.empty())
            stepHolder(m_choices.below(m_holders.size()));
    }

    bool canStep(const Holder &holder) const { return !holder.outcome && !m_killed[holder.vm]; }

    void stepHolder(std::size_t index)
    {
        auto &holder = m_holders[index];
        if (!canStep(holder))
            return;
        if (holder.isWaiting) {
            // If the network holds no operation of it, only a timeout ends the wait.
            if (m_choices.isEmpty() && !isInNetwork(index))
                endWait(index, ClaimWriteResult{ClaimWriteStatus::Unknown, {}},
                        ClaimReadError::ReadFailed);
            return;
        }
        auto &machine = holder.machine;
        if (machine.action() == ClaimAction::Insert)
            send(index, {index, OperationKind::Insert, machine.claim(), {}});
        else if (machine.action() == ClaimAction::Read)
            send(index, {index, OperationKind::Read, {}, {}});
        else if (machine.state() == ClaimState::Settled)
            holder.outcome = machine.outcome();
        else if (holder.isAttemptChecked)
            attempt(index);
        else if (machine.state() == ClaimState::Held)
            beginAttempt(index);
        else if (machine.state() == ClaimState::MayHaveRun)
            holder.outcome = Unknown{UnknownReason::ConnectionReset};
    }

    void beginAttempt(std::size_t index)
    {
        auto &holder = m_holders[index];
        const bool giveUp = holder.attempts == 3 || m_choices.below(6) == 5;
        if (!giveUp && holder.machine.beginAttempt(m_now)) {
            holder.isAttemptChecked = true;
            return;
        }
        if (holder.machine.canRelease())
            send(index, {index, OperationKind::Release, {}, std::string(holder.machine.tag())});
        else
            holder.outcome = Refusal{RefusalReason::ClaimExpired};
    }

    /** Sends the attempt, any time after the age check. */
    void attempt(std::size_t index)
    {
        auto &holder = m_holders[index];
        holder.isAttemptChecked = false;
        ++holder.attempts;
        AttemptResult result{NotRun{}, std::nullopt, false, {}};
        switch (m_choices.below(5)) {
        case 0:
        case 1:
            runAtTarget(holder);
            holder.machine.attemptEnded({Answered{response()}, std::nullopt, false, {}});
            record(index);
            return;
        case 2:
            runAtTarget(holder);
            result.outcome = Unknown{};
            break;
        case 3:
            result.outcome = Unknown{};
            break;
        default:
            break;
        }
        holder.machine.attemptEnded(result);
    }

    void record(std::size_t index)
    {
        auto &holder = m_holders[index];
        if (!holder.machine.canRecord()) {
            holder.outcome = response();
            return;
        }
        auto claim = holder.machine.claim();
        claim.response = recordedResponseOf(response());
        send(index, {index, OperationKind::Record, claim, std::string(holder.machine.tag())});
    }

    static Response response() { return {200, {{"content-type", "text/plain"}}, "paid"}; }

    void runAtTarget(Holder &holder)
    {
        ++holder.runs;
        ++m_runs;
    }

    void send(std::size_t index, Operation operation)
    {
        m_holders[index].isWaiting = true;
        m_holders[index].awaited = operation.kind;
        m_network.push_back(std::move(operation));
    }

    bool isInNetwork(std::size_t index) const
    {
        return std::any_of(m_network.begin(), m_network.end(),
                           [index](const auto &it) { return it.holder == index; });
    }

    void applyAny()
    {
        if (!m_network.empty())
            apply(m_choices.below(m_network.size()), true);
    }

    /** The operation takes effect, but its response is lost. */
    void loseAnswer()
    {
        if (!m_network.empty())
            apply(m_choices.below(m_network.size()), false);
    }

    void apply(std::size_t position, bool answered)
    {
        const auto operation = takeFromNetwork(position);
        ClaimWriteResult write{ClaimWriteStatus::ConditionFailed, {}};
        ClaimReadResult read = ClaimReadError::NoRow;
        const bool fits = m_row && m_row->tag == operation.tag;
        if (operation.kind == OperationKind::Read && m_row) {
            read = *m_row;
        } else if ((operation.kind == OperationKind::Insert && !m_row)
                   || (operation.kind == OperationKind::Record && fits)) {
            m_row = {operation.claim, std::to_string(++m_lastTag)};
            write = {ClaimWriteStatus::Written, m_row->tag};
        } else if (operation.kind == OperationKind::Release && fits) {
            m_row.reset();
            write = {ClaimWriteStatus::Written, {}};
        }
        if (answered)
            endWait(operation.holder, write, read, operation.kind);
    }

    Operation takeFromNetwork(std::size_t position)
    {
        auto operation = m_network[position];
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
        return operation;
    }

    /** The holder stops waiting; its operation may still take effect. */
    void timeOut()
    {
        if (m_holders.empty())
            return;
        endWait(m_choices.below(m_holders.size()), ClaimWriteResult{ClaimWriteStatus::Unknown, {}},
                ClaimReadError::ReadFailed);
    }

    /** The network loses the operation, so that the holder times out. */
    void dropAny()
    {
        if (!m_network.empty())
            takeFromNetwork(m_choices.below(m_network.size()));
    }

    void refuseAny()
    {
        if (m_network.empty())
            return;
        const auto operation = takeFromNetwork(m_choices.below(m_network.size()));
        endWait(operation.holder, ClaimWriteResult{ClaimWriteStatus::NotWritten, {}},
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
        auto &holder = m_holders[index];
        if (!canStep(holder) || !holder.isWaiting || (kind && *kind != holder.awaited))
            return;
        holder.isWaiting = false;
        if (holder.awaited == OperationKind::Insert)
            holder.machine.insertCompleted(write);
        else if (holder.awaited == OperationKind::Read)
            holder.machine.readCompleted(read);
        else if (holder.awaited == OperationKind::Record)
            holder.outcome = response();
        else
            holder.outcome = Refusal{RefusalReason::TargetUnreachable};
    }

    Choices &m_choices;
    std::vector<bool> m_killed;
    TimePoint m_now{};
    std::deque<Holder> m_holders;
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
        for (const auto &it : fleet.holders()) {
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
                RC_ASSERT(it.machine.claim().fingerprint.string() == ranFingerprint(fleet));
            }
        }
        coverage.withRun += fleet.runs() == 1;
        coverage.withAnsweredDuplicate += answered > 1;
        coverage.withRefusalAndRun += refused > 0 && fleet.runs() == 1;
        coverage.withAlreadyAccepted += accepted > 0;
        coverage.withoutRunButAccepted += accepted > 0 && fleet.runs() == 0;
    }

    static std::string ranFingerprint(const SimulatedFleet &fleet)
    {
        for (const auto &it : fleet.holders()) {
            if (it.runs > 0)
                return it.machine.claim().fingerprint.string();
        }
        return {};
    }

    Coverage coverage;
};

} // namespace

TEST_SUITE_BEGIN("Request");

// Guards against two runs of a key, and against "not run" for a request that ran or still runs,
// under any order of lost responses, delayed writes, timeouts, pauses and kills.
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
