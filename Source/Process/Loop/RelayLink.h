#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Process/Loop/RelayCodec.h"

#include <functional>
#include <memory>
#include <optional>

namespace Sapphireladder {

/** Long-polls one other VM for table changes and applies them to the mirror. */
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    /**
     * Called when the other VM did not respond or does not follow the store. The link is then
     * stopped already.
     */
    using FailureHandler = std::function<void(const FleetMember &member)>;

    /** The references must outlive the link. */
    RelayLink(LoopContext &context, RowMirror &mirror, FleetMember member,
              FailureHandler failureHandler);
    ~RelayLink();

    void start();
    void stop();
    const FleetMember &member() const { return m_member; }
    /** @return when the other VM last sent a valid response, or nothing. */
    std::optional<TimePoint> lastResponseAt() const { return m_lastResponseAt; }

private:
    void sendQuery();
    void handleResponse(const AttemptResult &result);

    LoopContext &m_context;
    RowMirror &m_mirror;
    const FleetMember m_member;
    FailureHandler m_failureHandler;
    std::shared_ptr<UpstreamConnection> m_connection;
    std::optional<TimePoint> m_lastResponseAt;
    bool m_isStopped = false;
};

} // namespace Sapphireladder
