#include "Testbed/Testbed.h"

#include "Main/AdminClient.h"
#include "Main/VmProcess.h"

#include <deque>
#include <ostream>
#include <sstream>
#include <thread>

namespace Sapphireladder::Testbed {

namespace {

using namespace std::chrono_literals;

constexpr unsigned targetCount = 3;
const std::string presetName = "ordinary";
const std::string demoRequestId = "demo-request";

/** Discards events, since the demo prints its own steps. */
class NullEventSink final : public EventSink
{
public:
    using EventSink::record;
    void record(EventId, std::span<const EventField>) override {}
};

/** @return a loopback address with a currently unused port. */
Endpoint freeEndpoint()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

std::string makePreset(const std::deque<FakeTarget> &targets)
{
    std::ostringstream text;
    text << "name: " << presetName << "\nservices:\n  - name: botolchin\n    targets:\n";
    unsigned number = 0;
    for (const auto &it : targets) {
        text << "      - { id: botolchin-" << ++number << ", endpoint: \""
             << it.endpoint().toString() << "\", zone: kolkata-dc, slots: 6 }\n";
    }
    return text.str();
}

/** Calls the VM's admin endpoint. @return the body, or DemoFailed for any status but 200. */
Result<std::string> callAdminEndpoint(const Endpoint &admin, const AdminRequest &request)
{
    TRY_ASSIGN(response, callAdmin(admin, request));
    if (response.status != 200)
        return makeError(TestbedError::DemoFailed, request.path + ": " + response.body);
    return std::move(response.body);
}

Result<> waitForPreset(const Endpoint &admin)
{
    const auto deadline = SteadyClock().now() + 30s;
    while (SteadyClock().now() < deadline) {
        TRY_ASSIGN(text, callAdminEndpoint(admin, {"GET", "/status", {}}));
        const auto status = nlohmann::json::parse(text, nullptr, false);
        if (status.is_object() && status.value("preset", "") == presetName)
            return success();
        std::this_thread::sleep_for(20ms);
    }
    return makeError(TestbedError::DemoFailed, "the VM did not apply the preset within 30 s");
}

Result<> switchPreset(const Endpoint &admin, std::string_view text, std::ostream &out)
{
    TRY_ASSIGN(stored, callAdminEndpoint(admin, {"PUT", "/presets/" + presetName, text}));
    out << "stored preset " << presetName << ": " << stored << '\n';
    const nlohmann::json request = {
            {"preset", presetName},
            {"operation", RandomSource::fromSystem().hexDigits()},
            {"author", "demo"},
    };
    TRY_ASSIGN(switched, callAdminEndpoint(admin, {"POST", "/preset/in-force", request.dump()}));
    out << "switched: " << switched << '\n';
    return waitForPreset(admin);
}

Result<> sendRequest(const Endpoint &callerEndpoint, std::ostream &out)
{
    const auto deadline = SteadyClock().now() + 30s;
    TRY_ASSIGN(session, UpstreamSession::create(callerEndpoint, deadline));
    Poco::Net::HTTPRequest message("GET", "/codes/4711", Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost("botolchin");
    message.set(requestIdHeader, demoRequestId);
    out << "request: GET /codes/4711 to botolchin through " << callerEndpoint.toString() << '\n';
    const auto end = exchange(*session, message, {}, mebibyte, deadline);
    const auto *response = std::get_if<CompleteResponse>(&end);
    if (!response)
        return makeError(TestbedError::DemoFailed, "no complete response received");
    out << "answer: " << response->head.status << '\n';
    for (const auto &[name, value] : response->head.fields)
        out << name << ": " << value << '\n';
    out << '\n' << response->body;
    if (checkResponseBody(response->body, demoRequestId) != BodyCheck::Valid)
        return makeError(TestbedError::DemoFailed,
                         "the response is corrupt or belongs to another request");
    return success();
}

} // namespace

Result<> runDemo(std::ostream &out)
{
    const FakePlatform platform(Endpoint{"127.0.0.1", 0});
    std::deque<FakeTarget> targets;
    for (unsigned i = 0; i < targetCount; ++i) {
        TargetOptions options;
        options.endpoint = {"127.0.0.1", 0};
        options.name = "botolchin-" + std::to_string(i + 1);
        targets.emplace_back(options);
    }
    Settings settings;
    settings.vm = VmId("vm-demo");
    settings.zone = ZoneName("kolkata-dc");
    settings.callerEndpoint = freeEndpoint();
    settings.adminEndpoint = freeEndpoint();
    settings.peerEndpoint = freeEndpoint();
    settings.platformEndpoint = platform.endpoint();
    settings.lameduck = Duration::zero();
    NullEventSink events;
    TRY_ASSIGN(vm, VmProcess::create(settings, events));
    out << "started a fake platform, " << targetCount << " fake targets and one VM\n";
    TRY(switchPreset(settings.adminEndpoint, makePreset(targets), out));
    TRY(sendRequest(settings.callerEndpoint, out));
    vm->stop();
    return success();
}

} // namespace Sapphireladder::Testbed
