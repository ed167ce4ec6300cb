#include "Process/AllowanceFleet.h"

#include <algorithm>

namespace Sapphireladder::Tests {

namespace {

class NullSink final : public EventSink
{
public:
    using EventSink::record;
    void record(EventId, std::span<const EventField>) override {}
};

NullSink nullSink;
constexpr std::uint16_t firstPort = 10'000;
constexpr unsigned collectorCount = 6;

} // namespace

struct AllowanceFleet::Node final : AllowanceTransport
{
    Node(AllowanceFleet &owner, unsigned number)
        : fleet(owner)
        , vm(number)
    {}

    void send(const Endpoint &receiver, const AllowanceMessage &message) override
    {
        const auto to = static_cast<unsigned>(receiver.port - firstPort);
        if (std::holds_alternative<TokenRequest>(message))
            fleet.planTick(vm, fleet.now() + AllowanceClient::answerTimeout);
        fleet.transmit(vm, to, [this, to, message, sender = generation] {
            fleet.m_nodes[to]->receive(vm, sender, message);
        });
    }

    void receive(unsigned from, unsigned senderGeneration, const AllowanceMessage &message)
    {
        if (!collector)
            return;
        if (const auto *delegation = std::get_if<DelegateMessage>(&message))
            respond(from, senderGeneration, collector->delegate(*delegation, fleet.now()));
        else if (const auto *request = std::get_if<TokenRequest>(&message))
            respond(from, senderGeneration, collector->grant(*request, fleet.now()));
    }

    template<typename Answer>
    void respond(unsigned from, unsigned senderGeneration, Answer answer)
    {
        fleet.transmit(vm, from, [this, from, senderGeneration, answer] {
            auto &target = *fleet.m_nodes[from];
            if (!target.client || target.generation != senderGeneration)
                return;
            target.client->receive(fleet.endpointOf(vm), answer);
            fleet.planTick(from, fleet.now() + AllowanceClient::answerTimeout);
        });
    }

    AllowanceFleet &fleet;
    const unsigned vm;
    std::unique_ptr<AllowanceClient> client;
    std::unique_ptr<AllowanceCollector> collector;
    std::vector<Workspace> workspaces;
    unsigned generation = 0;
    unsigned group = 0;
    bool isFrozen = false;
    std::vector<std::function<void()>> backlog;
    TimePoint plannedTick = TimePoint::max();
};

AllowanceFleet::AllowanceFleet(unsigned vms, const std::vector<Workspace> &workspaces,
                               AllowancePolicy policy, std::uint64_t seed)
    : m_random(seed)
    , m_policy(policy)
    , m_fleetSize(vms)
{
    m_clock.advance(std::chrono::hours(1));
    for (unsigned i = 0; i < vms; ++i) {
        m_nodes.push_back(std::make_unique<Node>(*this, i));
        m_nodes.back()->workspaces = workspaces;
    }
}

AllowanceFleet::~AllowanceFleet() = default;

Endpoint AllowanceFleet::endpointOf(unsigned vm) const
{
    return {"vm", static_cast<std::uint16_t>(firstPort + vm)};
}

void AllowanceFleet::schedule(TimePoint time, std::function<void()> function)
{
    m_queue.push({time, ++m_eventCount, std::move(function)});
}

void AllowanceFleet::after(Duration delay, std::function<void()> function)
{
    schedule(now() + delay, std::move(function));
}

void AllowanceFleet::run(Duration duration)
{
    const auto end = now() + duration;
    while (!m_queue.empty() && m_queue.top().time <= end) {
        const auto event = m_queue.top();
        m_queue.pop();
        m_clock.advance(event.time - now());
        event.function();
    }
    m_clock.advance(end - now());
}

void AllowanceFleet::runOn(unsigned vm, std::function<void()> function)
{
    auto &node = *m_nodes[vm];
    if (node.isFrozen)
        node.backlog.push_back(std::move(function));
    else
        function();
}

void AllowanceFleet::transmit(unsigned from, unsigned to, const std::function<void()> &deliver)
{
    ++messages;
    const unsigned copies = m_random.unit() < faults.duplication ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        if (m_random.unit() < faults.loss)
            continue;
        const bool isLate = m_random.unit() < faults.late;
        const auto max = isLate ? faults.lateDelay : faults.maxDelay;
        after(duration_cast<Duration>(max * m_random.unit()), [this, from, to, deliver] {
            if (m_nodes[from]->group == m_nodes[to]->group)
                runOn(to, deliver);
        });
    }
}

void AllowanceFleet::planTick(unsigned vm, TimePoint time)
{
    auto &node = *m_nodes[vm];
    if (node.plannedTick <= time)
        return;
    node.plannedTick = time;
    schedule(std::max(time, now()), [this, vm, time, generation = node.generation] {
        runOn(vm, [this, vm, time, generation] {
            auto &target = *m_nodes[vm];
            if (!target.client || target.generation != generation || target.plannedTick != time)
                return;
            target.plannedTick = TimePoint::max();
            if (const auto next = target.client->tick())
                planTick(vm, *next);
        });
    });
}

void AllowanceFleet::start(unsigned vm)
{
    kill(vm);
    auto &node = *m_nodes[vm];
    node.client = std::make_unique<AllowanceClient>(m_random.bits(), m_clock, node, nullSink);
    node.collector = std::make_unique<AllowanceCollector>(m_random.bits());
    node.client->setFleetSize(m_fleetSize);
    std::vector<Endpoint> collectors;
    for (unsigned i = 0; i < std::min<std::size_t>(collectorCount, m_nodes.size()); ++i)
        collectors.push_back(endpointOf(i));
    node.client->setCollectors(collectors);
    setWorkspaces(vm, node.workspaces);
    planTick(vm, now());
}

void AllowanceFleet::kill(unsigned vm)
{
    auto &node = *m_nodes[vm];
    ++node.generation;
    node.client.reset();
    node.collector.reset();
    node.backlog.clear();
    node.isFrozen = false;
    node.plannedTick = TimePoint::max();
}

void AllowanceFleet::freeze(unsigned vm)
{
    m_nodes[vm]->isFrozen = true;
}

void AllowanceFleet::wake(unsigned vm)
{
    auto &node = *m_nodes[vm];
    node.isFrozen = false;
    for (const auto &it : std::exchange(node.backlog, {}))
        it();
}

void AllowanceFleet::setGroup(unsigned vm, unsigned group)
{
    m_nodes[vm]->group = group;
}

void AllowanceFleet::setWorkspaces(unsigned vm, std::vector<Workspace> workspaces)
{
    auto &node = *m_nodes[vm];
    node.workspaces = std::move(workspaces);
    if (!node.client)
        return;
    node.client->setWorkspaces(node.workspaces, m_policy);
    node.collector->setWorkspaces(node.workspaces, m_policy, now());
}

void AllowanceFleet::setFleetSize(unsigned vms)
{
    m_fleetSize = vms;
    for (const auto &it : m_nodes) {
        if (it->client)
            it->client->setFleetSize(vms);
    }
}

bool AllowanceFleet::isRunning(unsigned vm) const
{
    return m_nodes[vm]->client && !m_nodes[vm]->isFrozen;
}

void AllowanceFleet::request(unsigned vm, const Workspace &workspace, bool isGivenBack)
{
    auto &node = *m_nodes[vm];
    if (!isRunning(vm))
        return;
    node.client->acquire(workspace,
                         [this, &node, workspace, isGivenBack](const AllowanceDecision &decision) {
                             if (!decision.isGranted)
                                 return;
                             if (isGivenBack)
                                 node.client->giveBack(workspace);
                             else
                                 m_passedOn[workspace.name].push_back(now());
                         });
}

AllowanceCounters AllowanceFleet::counters() const
{
    AllowanceCounters sum;
    for (const auto &it : m_nodes) {
        if (!it->client)
            continue;
        const auto &counters = it->client->counters();
        sum.granted += counters.granted;
        sum.refused += counters.refused;
        sum.asked += counters.asked;
        sum.unanswered += counters.unanswered;
        sum.ownTokens += counters.ownTokens;
        sum.expiredTokens += counters.expiredTokens;
    }
    return sum;
}

double AllowanceFleet::worstUse(const Workspace &workspace, const AllowancePolicy &policy,
                                TimePoint begin, TimePoint end) const
{
    const auto it = m_passedOn.find(workspace.name);
    if (it == m_passedOn.end())
        return 0;
    const auto &times = it->second;
    const auto bound = AllowanceRate::bound(workspace, policy);
    double worst = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        while (last < times.size() && times[last] - times[first] <= policy.window)
            ++last;
        if (times[first] >= begin && times[first] < end)
            worst = std::max(worst, static_cast<double>(last - first) / bound);
    }
    return worst;
}

} // namespace Sapphireladder::Tests
