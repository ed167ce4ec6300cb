#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

namespace {

using Options = LoadOptions;

/** Parses a comma-separated list of endpoints. */
bool setEndpoints(Options &options, std::string_view text)
{
    options.endpoints.clear();
    while (true) {
        const auto comma = text.find(',');
        auto endpoint = Endpoint::parse(text.substr(0, comma));
        if (!endpoint)
            return false;
        options.endpoints.push_back(std::move(endpoint.value()));
        if (comma == std::string_view::npos)
            return true;
        text.remove_prefix(comma + 1);
    }
}

bool setRate(Options &options, std::string_view text)
{
    return parseValue(text, options.rate) && options.rate > 0;
}

} // namespace

std::span<const Field<LoadOptions>> loadFields()
{
    static constexpr Field<Options> fields[] = {
            {"endpoints", "comma-separated addresses that requests are sent to", setEndpoints},
            {"service", "service name, sent in the Host header", setMember<&Options::service>},
            {"path", "path of every request", setMember<&Options::path>},
            {"rate", "mean number of requests per second, sent at random intervals", setRate},
            {"callers",
             "number of closed-loop callers, which send at no fixed rate; 0 to send at the rate",
             setMember<&Options::callers>},
            {"threads", "number of threads that send at the rate", setMember<&Options::threads>},
            {"count", "number of requests after which the load test ends",
             setMember<&Options::count>},
            {"duration", "time after which the load test ends", setMember<&Options::duration>},
            {"timeout", "time limit of each request", setMember<&Options::timeout>},
            {"put_share", "share of PUT requests", setMember<&Options::putShare>},
            {"post_share", "share of POST requests, which have idempotency keys",
             setMember<&Options::postShare>},
            {"duplicate_share", "share of the POST requests that are also sent to another endpoint",
             setMember<&Options::duplicateShare>},
            {"deferrable_share", "share of deferrable requests",
             setMember<&Options::deferrableShare>},
            {"body_size", "body size of PUT and POST requests in bytes",
             setMember<&Options::bodySize>},
            {"seed", "seed of the random number generator", setMember<&Options::seed>},
            {"json", "true to print the report as JSON", setMember<&Options::json>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
