#pragma once

#include "Process/AllowancePool.h"
#include "Process/GatewaySettings.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Sapphireladder {

/**
 * A VM hands one of its shares to a collector for a limited time, or with a share of zero asks
 * whether the collector is there, or takes the share back.
 */
struct DelegateMessage
{
    AllowanceShareKey key;
    /** Increases with each message of the sender. */
    std::uint64_t sequence = 0;
    /** Random number of the collector's process, from its last answer; 0 if there was none. */
    std::uint64_t collector = 0;
    /** The collector's time of its last answer. The share is valid for a time after that. */
    Duration collectorTime{};
    double share = 0;

    friend bool operator==(const DelegateMessage &, const DelegateMessage &) = default;
};

/** A collector's answer to a DelegateMessage. */
struct DelegateAnswer
{
    unsigned slot = 0;
    std::uint64_t sequence = 0;
    std::uint64_t collector = 0;
    Duration collectorTime{};

    friend bool operator==(const DelegateAnswer &, const DelegateAnswer &) = default;
};

/** A VM asks a collector for tokens. */
struct TokenRequest
{
    /** Random number of the sender's process. */
    std::uint64_t sender = 0;
    /** Number of the request. A repetition has the same, and does not take tokens again. */
    std::uint64_t id = 0;
    std::string workspace;
    unsigned count = 0;

    friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

/** A collector's answer to a TokenRequest. */
struct TokenAnswer
{
    std::uint64_t id = 0;
    /** Tokens granted, at most as many as requested. */
    unsigned count = 0;
    /** If fewer were granted: when the next token is expected. */
    Duration emptyFor{};
    /** If fewer were granted: when there is room for the caller's next attempt. */
    Duration retryAfter{};

    friend bool operator==(const TokenAnswer &, const TokenAnswer &) = default;
};

using AllowanceMessage = std::variant<DelegateMessage, DelegateAnswer, TokenRequest, TokenAnswer>;

/** Sends messages to collectors; they may be lost, delayed or duplicated. */
class AllowanceTransport
{
public:
    virtual ~AllowanceTransport() = default;
    virtual void send(const Endpoint &collector, const AllowanceMessage &message) = 0;
};

/** How long a delegated share is valid: by the collector's clock from the time that the message
 * states, by the owner's clock from the sending, which is later. */
constexpr Duration delegationTime = std::chrono::seconds(2);

/** @return where the collector of a VM gets its messages: the port after that of its relay. */
Endpoint allowanceEndpoint(const Endpoint &relayEndpoint);
/** @return the part of the settings that the allowances depend on. */
AllowancePolicy allowancePolicyOf(const GatewaySettings &settings);

} // namespace Sapphireladder
