#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Sapphireladder {

/**
 * A strongly typed string identifier. Identifiers with different tags do not convert into each
 * other, so that a target id cannot be passed where a service name is expected.
 */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {}
    explicit Identifier(std::string_view value)
        : m_value(value)
    {}
    explicit Identifier(const char *value)
        : m_value(value)
    {}

    const std::string &string() const { return m_value; }
    /** @return a view that is valid as long as the identifier. */
    std::string_view view() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend auto operator<=>(const Identifier &,
                            const Identifier &) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream &operator<<(std::ostream &out, const Identifier &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using ServiceName = Identifier<struct ServiceNameTag>;
using TargetId = Identifier<struct TargetIdTag>;
using VmId = Identifier<struct VmIdTag>;
using ZoneName = Identifier<struct ZoneNameTag>;
using PresetName = Identifier<struct PresetNameTag>;
using ClaimId = Identifier<struct ClaimIdTag>;
using OperationId = Identifier<struct OperationIdTag>;
using RequestId = Identifier<struct RequestIdTag>;
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
/** Hexadecimal 128-bit digest of a text, such as a preset or the content of a request. */
using ContentDigest = Identifier<struct ContentDigestTag>;

/** Number that a target increases with each restart; 0 if unknown. */
using Incarnation = std::uint64_t;

} // namespace Sapphireladder

template<typename Tag>
struct std::hash<Sapphireladder::Identifier<Tag>>
{
    std::size_t operator()(const Sapphireladder::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string_view>()(id.view());
    }
};
