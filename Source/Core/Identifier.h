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
 * A string that names one kind of thing. Identifiers with different tags do not convert into
 * each other, so that a target's name cannot be passed where a service's name is expected.
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

    /** @return the text of the identifier. */
    const std::string &string() const { return m_value; }
    /** @return a view of the text, valid as long as the identifier. */
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
/** Hexadecimal 128-bit digest of a preset's text. */
using ContentDigest = Identifier<struct ContentDigestTag>;

/** Number of a target's life. Each restart has a higher one; 0 is a life of unknown number. */
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
