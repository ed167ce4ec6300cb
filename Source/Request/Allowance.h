#pragma once

#include "Version/Version.h"

#include <functional>

namespace Sapphireladder {

/** Whether a request is within the allowance of its workspace. */
struct AllowanceDecision
{
    bool isGranted = true;
    /** When there will be room for a request that was not granted. */
    Duration retryAfter{};
};

/**
 * Grants requests within the workspaces' allowances, which hold for all VMs together. Used by the
 * traffic thread only.
 */
class AllowanceGate
{
public:
    using Handler = std::function<void(AllowanceDecision decision)>;

    virtual ~AllowanceGate() = default;
    /**
     * Takes one request of a workspace's allowance.
     * @param handler called once, possibly before the function returns
     */
    virtual void acquire(const Workspace &workspace, Handler handler) = 0;
    /**
     * Takes one request only if this VM has it at hand, for an attempt beside another one.
     * @return whether it was granted.
     */
    virtual bool tryAcquire(const Workspace &workspace) = 0;
    /** Returns what was granted to a request that no target has run. */
    virtual void giveBack(const Workspace &workspace) = 0;
};

/** Grants all requests, where no workspace has an allowance. */
class UnlimitedAllowanceGate final : public AllowanceGate
{
public:
    void acquire(const Workspace &, Handler handler) override { handler({}); }
    bool tryAcquire(const Workspace &) override { return true; }
    void giveBack(const Workspace &) override {}
};

} // namespace Sapphireladder
