#pragma once

#include "Testbed/FieldTable.h"

#include <vector>

namespace Sapphireladder::Testbed {

/** What the load tool sends. */
struct LoadOptions
{
    /** Where requests go, VMs or a target. */
    std::vector<Endpoint> endpoints;
    std::string service = "botolchin";
    std::string path = "/codes/1";
    /** Requests each second, at random times, however slow the answers are. */
    double rate = 100;
    /** If not 0, so many callers each wait for an answer before the next request, at no rate. */
    unsigned callers = 0;
    /** Threads that send at a rate. A request beyond them waits, and its wait is counted. */
    unsigned threads = 128;
    /** The run ends after so many requests or after this time, whichever is first. */
    std::uint64_t count = 1000;
    Duration duration = std::chrono::seconds(60);
    /** Time that each request may take. */
    Duration timeout = std::chrono::seconds(2);
    double putShare = 0;
    /** Share of POST requests, each with an idempotency key. */
    double postShare = 0;
    /** Share of the POST requests that are sent a second time through another endpoint. */
    double duplicateShare = 0;
    double deferrableShare = 0;
    /** Bytes of the bodies of PUT and POST requests. */
    unsigned bodySize = 64;
    std::uint64_t seed = 1;
    bool json = false;
};

/** @return every field by name. */
std::span<const Field<LoadOptions>> loadFields();

} // namespace Sapphireladder::Testbed
