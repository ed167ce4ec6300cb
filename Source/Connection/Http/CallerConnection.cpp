#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <istream>

namespace Sapphireladder {

namespace {

Poco::Net::HTTPServerParams::Ptr sessionParams()
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    return params;
}

/** The caller went away while it was sending; there is nobody to answer. */
struct CallerGone
{};

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket,
                                   CountingSocketImpl *counter, const CallerLimits &limits)
    : m_counter(counter)
    , m_limits(limits)
    , m_session(socket, sessionParams())
    , m_idleSince(SteadyClock().now())
{}

bool CallerConnection::serveOne(TrafficService &service, RandomSource &random)
{
    const auto arrival = SteadyClock().now();
    m_counter->setDeadline(arrival + m_limits.readTimeout);
    m_requestWasRead = false;
    try {
        const bool keep = serveRequest(service, random, arrival);
        m_idleSince = SteadyClock().now();
        return keep;
    } catch (const CallerGone &) {
        return false;
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool CallerConnection::serveRequest(TrafficService &service, RandomSource &random,
                                    TimePoint arrival)
{
    Poco::Net::HTTPServerResponseImpl response(m_session);
    RequestId requestId;
    RequestOutcome outcome = Refusal{RefusalReason::BadRequest};
    std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
    try {
        request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(response, m_session, nullptr);
        outcome = outcomeOf(*request, service, random, arrival, requestId);
    } catch (const Poco::Net::NoMessageException &) {
        return false;
    } catch (const Poco::Net::MessageException &) {
        // The head is not HTTP. The caller is told so, and the connection is closed.
    }
    const bool keep = request && m_requestWasRead && request->getKeepAlive()
                      && !service.isStopping();
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(keep);
    constexpr auto writeTimeout = std::chrono::seconds(10);
    m_counter->setDeadline(SteadyClock().now() + writeTimeout);
    writeOutcome(outcome, requestId, response);
    service.recordOutcome(outcome, SteadyClock().now() - arrival);
    return keep;
}

RequestOutcome CallerConnection::outcomeOf(Poco::Net::HTTPServerRequestImpl &request,
                                           TrafficService &service, RandomSource &random,
                                           TimePoint arrival, RequestId &requestId)
{
    const auto snapshot = service.preset();
    if (!snapshot)
        return Refusal{RefusalReason::NoPreset};
    auto mapped = mapRequest(request, *snapshot, arrival, random);
    if (const auto *reason = std::get_if<RefusalReason>(&mapped))
        return Refusal{*reason};
    auto &[info, policy, headers] = std::get<MappedRequest>(mapped);
    requestId = info.id;
    const auto body = readBody(request);
    if (const auto *reason = std::get_if<RefusalReason>(&body))
        return Refusal{*reason};
    m_requestWasRead = true;
    const auto &text = std::get<std::string>(body);
    info.fingerprint = fingerprintOf(info, text);
    return service.serve(info, *policy, headers, text);
}

CallerConnection::BodyOrRefusal
CallerConnection::readBody(Poco::Net::HTTPServerRequestImpl &request)
{
    const bool chunked = request.getChunkedTransferEncoding();
    if (!chunked && !request.hasContentLength())
        return std::string();
    const auto length = chunked ? 0 : static_cast<std::uint64_t>(request.getContentLength64());
    if (length > m_limits.bodyLimit)
        return RefusalReason::BodyTooLarge;
    if (request.getExpectContinue())
        static_cast<Poco::Net::HTTPServerResponseImpl &>(request.response()).sendContinue();
    std::string body;
    char buf[16384];
    auto &stream = request.stream();
    while (stream.read(buf, sizeof buf), stream.gcount() > 0) {
        body.append(buf, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > m_limits.bodyLimit)
            return RefusalReason::BodyTooLarge;
    }
    const bool cut = m_session.networkException() || m_counter->isPeerClosed()
                     || (!chunked && body.size() != length);
    if (cut)
        throw CallerGone();
    return body;
}

} // namespace Sapphireladder
