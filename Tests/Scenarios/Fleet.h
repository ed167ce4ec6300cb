#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Scenarios/ChildProcess.h"

#include <Poco/TemporaryFile.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder::Scenarios {

/** Size and settings of a test fleet. */
struct FleetOptions
{
    unsigned vmCount = 3;
    unsigned targetCount = 3;
    unsigned slots = 6;
    std::string serviceTime = "5ms";
    /** Lines added to each VM's settings. */
    std::string extraSettings = {};
    /** Whether each VM's settings list all VMs as seed peers. */
    bool seedPeers = false;
    /** Lines added to the service in each preset, indented by four spaces. */
    std::string extraPolicy = {};
};

/** A request that a test sends as a caller. */
struct CallerRequest
{
    std::string method = "GET";
    std::string path = "/codes/1";
    std::vector<HeaderField> headers;
    std::string body;
    std::string host = "botolchin";
};

/** A fake platform, fake targets and VMs as separate processes on free loopback ports. */
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options = {});

    std::size_t vmCount() const { return m_vms.size(); }
    ChildProcess &vm(std::size_t index) { return *m_vms[index].process; }
    ChildProcess &target(std::size_t index) { return *m_targets[index].process; }
    ChildProcess &platform() { return *m_platform; }
    Endpoint callerEndpoint(std::size_t index) const { return m_vms[index].callerEndpoint; }
    Endpoint adminEndpoint(std::size_t index) const { return m_vms[index].adminEndpoint; }
    Endpoint targetEndpoint(std::size_t index) const { return m_targets[index].endpoint; }
    Endpoint platformEndpoint() const { return m_platformEndpoint; }

    /** Changes the faults of the platform. @return whether the platform accepted them. */
    bool setFaults(const std::string &json);
    /** Replaces the platform's VM list. @return whether the platform accepted it. */
    bool setVmList(const std::string &json);

    /** Kills and restarts a VM with the same settings. */
    void restartVm(std::size_t index);
    void restartTarget(std::size_t index);
    void restartPlatform();

    /** Writes a preset file with the service botolchin and all targets. @return its path. */
    std::string writePreset(const std::string &name);
    /** Stores and activates a preset through a VM. @return the output of the switch command. */
    ProgramOutput switchPreset(const std::string &name, std::size_t vmIndex = 0);
    ProgramOutput runProduct(const std::vector<std::string> &arguments);

    /** @return the response, or nothing if there is no complete one. */
    std::optional<Response> call(std::size_t vmIndex, const CallerRequest &request = {});
    /** Sends a GET to the VM's admin endpoint. @return the body, or empty if unreachable. */
    std::string getAdmin(std::size_t vmIndex, const std::string &path);
    /** @return a number from the VM's status, or 0 if it is unreachable. */
    std::uint64_t statusNumber(std::size_t vmIndex, const std::string &name);
    /** @return the number of members in the VM's status, or 0 if it is unreachable. */
    std::size_t memberCount(std::size_t vmIndex);
    /** @return the version that the VM applies, or 0 if it is unreachable. */
    PresetVersion appliedVersion(std::size_t vmIndex);

    /** Polls a condition until it is true. @return whether it became true before the timeout. */
    static bool waitUntil(const std::function<bool()> &condition,
                          Duration timeout = std::chrono::seconds(15));

private:
    struct Vm
    {
        Endpoint callerEndpoint;
        Endpoint adminEndpoint;
        Endpoint peerEndpoint;
        std::string settingsFile;
        std::unique_ptr<ChildProcess> process;
    };
    struct Target
    {
        Endpoint endpoint;
        std::unique_ptr<ChildProcess> process;
    };

    void startTarget(std::size_t index);
    std::string writeFile(const std::string &name, const std::string &text);

    FleetOptions m_options;
    Poco::TemporaryFile m_folder;
    Endpoint m_platformEndpoint;
    std::unique_ptr<ChildProcess> m_platform;
    std::vector<Target> m_targets;
    std::vector<Vm> m_vms;
};

/** @return a loopback address with a currently unused port, which is not reserved. */
Endpoint freeEndpoint();

} // namespace Sapphireladder::Scenarios
