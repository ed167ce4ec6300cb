#pragma once

#include "Request/Request.h"

#include <mutex>

namespace Sapphireladder {

/** Token bucket that limits one service's retries to a share of its first attempts. */
class RetryBudget final : public RetryTokens
{
public:
    explicit RetryBudget(const RetryPolicy &policy);

    /** Applies a new version's policy. Tokens beyond the new burst are discarded. */
    void setPolicy(const RetryPolicy &policy);
    void recordFirstAttempt() override;
    bool takeRetry() override;

private:
    std::mutex m_mutex;
    RetryPolicy m_policy;
    double m_tokens;
};

} // namespace Sapphireladder
