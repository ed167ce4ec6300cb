#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

namespace {

using O = LoadOptions;

/** Parses a comma-separated list of endpoints. */
bool setEndpoints(O &options, std::string_view text)
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

bool setRate(O &options, std::string_view text)
{
    return parseValue(text, options.rate) && options.rate > 0;
}

} // namespace

std::span<const Field<LoadOptions>> loadFields()
{
    static constexpr Field<O> fields[] = {
            {"endpoints", "comma-separated addresses that requests are sent to", setEndpoints},
            {"service", "service name, sent in the Host header", setMember<&O::service>},
            {"path", "path of every request", setMember<&O::path>},
            {"rate", "mean number of requests per second, sent at random intervals", setRate},
            {"callers",
             "number of closed-loop callers, which send at no fixed rate; 0 to send at the rate",
             setMember<&O::callers>},
            {"threads", "number of threads that send at the rate", setMember<&O::threads>},
            {"count", "number of requests after which the load test ends", setMember<&O::count>},
            {"duration", "time after which the load test ends", setMember<&O::duration>},
            {"timeout", "time limit of each request", setMember<&O::timeout>},
            {"put_share", "share of PUT requests", setMember<&O::putShare>},
            {"post_share", "share of POST requests, which have idempotency keys",
             setMember<&O::postShare>},
            {"duplicate_share", "share of the POST requests that are also sent to another endpoint",
             setMember<&O::duplicateShare>},
            {"deferrable_share", "share of deferrable requests", setMember<&O::deferrableShare>},
            {"body_size", "body size of PUT and POST requests in bytes", setMember<&O::bodySize>},
            {"seed", "seed of the random number generator", setMember<&O::seed>},
            {"json", "true to print the report as JSON", setMember<&O::json>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
