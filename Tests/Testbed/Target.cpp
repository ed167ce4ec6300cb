#include "Testbed/Testbed.h"

#include "Request/Http/RequestHttp.h"

#include <thread>

namespace Sapphireladder::Testbed {

Target::Target(const TargetOptions &options)
    : m_options(options)
    , m_server(options.endpoint,
               [this](auto &request, auto &response) { handle(request, response); })
{}

void Target::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const auto body = readBody(request);
    const unsigned inFlight = ++m_inFlight;
    std::this_thread::sleep_for(m_options.serviceTime);
    response.set(loadHeader, std::to_string(inFlight) + "/" + std::to_string(m_options.slots));
    response.set(requestIdHeader, request.get(requestIdHeader, ""));
    const auto text = m_options.name + " answers " + request.getMethod() + " " + request.getURI()
                      + " with " + std::to_string(body.size()) + " bytes\n";
    --m_inFlight;
    sendAnswer(response, 200, text);
}

} // namespace Sapphireladder::Testbed
