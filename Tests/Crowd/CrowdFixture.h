#pragma once

#include "Crowd/Crowd.h"
#include "Soak/FakeStore.h"
#include "Soak/SoakGateway.h"

#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder::CrowdTests {

/** Limits of the gateway under test, far below those of a VM, so that a small crowd exceeds them.
 */
constexpr std::size_t memoryMebibytes = 64;
constexpr std::size_t maxBodyBytes = 4 * mebibyte;
constexpr std::size_t maxHeadBytes = 16 * kibibyte;
constexpr unsigned maxDescriptors = 256;
/** Body of the target's answers at "/large/". */
constexpr std::size_t largeAnswerBytes = mebibyte;

/** Limits of a gateway under test. */
struct CrowdLimits
{
    std::size_t memoryMebibytes = CrowdTests::memoryMebibytes;
    std::size_t maxBodyBytes = CrowdTests::maxBodyBytes;
    unsigned timeoutMs = 4000;
};

/** A gateway process with small limits, a store and a target. */
class CrowdFixture
{
public:
    explicit CrowdFixture(const CrowdLimits &limits = {});

    const Endpoint &callers() const { return m_gateway->endpoint(); }
    const Endpoint &ready() const { return m_gateway->readyEndpoint(); }
    const Endpoint &metrics() const { return m_gateway->metricsEndpoint(); }
    /** Checks what must hold beside a crowd: the process, its bounds and its ordinary callers. */
    void checkHolds();
    /** Checks that the descriptors of a crowd that has left are closed. */
    void checkReleased();

private:
    std::size_t openDescriptors();
    /** @return a value in KiB from the status of the process. */
    std::size_t statusKibibytes(const std::string &name);

    const CrowdLimits m_limits;
    Soak::FakeStore m_store;
    Testbed::TestHttpServer m_target;
    std::unique_ptr<Soak::SoakGateway> m_gateway;
};

/** @return a GET request without a body. */
std::string get(const std::string &path);
/** @return the head of a POST request. @param fields further lines, each with its line end */
std::string postHead(const std::string &path, const std::string &fields);

} // namespace Sapphireladder::CrowdTests
