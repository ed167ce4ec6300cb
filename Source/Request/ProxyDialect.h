#pragma once

#include "Request/AttemptResult.h"
#include "Request/HeaderField.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** What a caller says of its request in header fields. */
struct CallerTerms
{
    RequestId id;
    /** How long the caller waits for the answer, from its sending. */
    std::optional<Duration> patience;
};

/** What an attempt tells the target in header fields. */
struct AttemptTerms
{
    /** How long the target may work on the request. */
    Duration timeLeft{};
    /** Only this target may run the request. */
    std::string_view target;
};

/** What a target's answer says in header fields, besides what is passed on to the caller. */
struct TargetStatement
{
    /** Id of the request that the answer belongs to. */
    std::optional<RequestId> request;
    /** The target that answered. */
    std::optional<TargetId> target;
    std::optional<LoadReport> load;
    /** The target surely did not run the request. */
    bool notRun = false;
    /** The target vouches for the answer. */
    bool isSigned = false;
};

/** How header fields are named and read, between callers, VMs and targets. */
class ProxyDialect
{
public:
    virtual ~ProxyDialect() = default;
    virtual CallerTerms callerTerms(std::span<const HeaderField> fields) const = 0;
    /** Replaces the fields that a VM sets itself. */
    virtual void setAttemptTerms(std::vector<HeaderField> &fields,
                                 const AttemptTerms &terms) const = 0;
    virtual TargetStatement targetStatement(unsigned status,
                                            std::span<const HeaderField> fields) const = 0;
    /** Removes the fields of a target's answer that only VMs read. */
    virtual void removeInternalFields(std::vector<HeaderField> &fields) const = 0;
    /** @return the field that names the request in answers that no target gave. */
    virtual HeaderField requestIdField(const RequestId &id) const = 0;
};

} // namespace Sapphireladder
