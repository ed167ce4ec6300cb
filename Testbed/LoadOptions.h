#pragma once

#include "Testbed/FieldTable.h"

#include <vector>

namespace Sapphireladder::Testbed {

/** Options of the load generator. */
struct LoadOptions
{
    /** Addresses that requests are sent to: VMs or a target. */
    std::vector<Endpoint> endpoints;
    /** Service that is requested, sent in the Host header. */
    std::string service = "botolchin";
    std::string path = "/codes/1";
    /**
     * Mean number of requests per second in open-loop mode, at random intervals independent of
     * responses.
     */
    double rate = 100;
    /**
     * Number of closed-loop callers, each of which waits for a response before its next request.
     * 0 selects open-loop mode.
     */
    unsigned callers = 0;
    /**
     * Threads in open-loop mode. A request that finds all of them busy is delayed, and the delay
     * is part of its latency.
     */
    unsigned threads = 128;
    /** The load test ends after this number of requests or this duration, whichever comes first. */
    std::uint64_t count = 1000;
    Duration duration = std::chrono::seconds(60);
    /** Time limit of each request. */
    Duration timeout = std::chrono::seconds(2);
    /** Share of PUT requests, which have no idempotency key. */
    double putShare = 0;
    /** Share of POST requests, each with an idempotency key. */
    double postShare = 0;
    /** Share of the POST requests that are sent a second time, to another endpoint. */
    double duplicateShare = 0;
    double deferrableShare = 0;
    /** Body size of PUT and POST requests in bytes. */
    unsigned bodySize = 64;
    std::uint64_t seed = 1;
    /** Whether to print the report as JSON. */
    bool json = false;
};

/** @return the fields that can be set by name. */
std::span<const Field<LoadOptions>> loadFields();

} // namespace Sapphireladder::Testbed
