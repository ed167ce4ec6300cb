#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** How urgent an event is for an operator. */
enum class Severity : std::uint8_t {
    Info,
    Warning,
    Error,
};

/** Numbers of the log events, documented in docs/events.md. A number is never reused. */
enum class EventId : std::uint16_t {
    ProcessStarted = 100,
    ProcessReady = 101,
    ProcessNotReady = 102,
    ProcessStopped = 103,
    PresetApplied = 200,
    PresetOlderIgnored = 201,
    PresetDigestMismatch = 202,
    PresetBodyUnavailable = 203,
    PresetBodyInvalid = 204,
    PresetSwitchAccepted = 210,
    PresetSwitchConflict = 211,
    PresetSwitchRefused = 212,
    PresetSwitchUnknown = 213,
    CallerInputRefused = 300,
    CallerConnectionRefused = 301,
    RequestSent = 310,
    RequestRetried = 311,
    RequestAnswered = 312,
    RequestRefused = 313,
    RequestUnknown = 314,
    RequestAbandoned = 315,
    RequestWaits = 316,
    RequestStalled = 317,
    RequestHedged = 318,
    AllowanceExceeded = 320,
    LogLinesDropped = 390,
    TargetEjected = 400,
    TargetReinstated = 401,
    TargetLeaving = 402,
    TargetReturned = 403,
    EjectionSuspended = 404,
    TargetsRead = 410,
    TargetRegistered = 411,
    TargetRemoved = 412,
    TargetRecordInvalid = 413,
    TargetMisaddressed = 414,
    TargetPaused = 415,
    ZoneEvacuated = 420,
    ZoneReturned = 421,
    PeerLost = 500,
    PeerJoined = 501,
    PeerChannelReplaced = 502,
    FleetCounted = 510,
    RelayLinkFailed = 511,
    RelayRoleChanged = 512,
    AllowanceCollectorsChanged = 520,
    StoreUnavailable = 600,
    StoreRecovered = 601,
    VmListUnavailable = 602,
    StoreReturned = 605,
    DependencyLost = 610,
    DependencyRegained = 611,
    TablesOutdated = 612,
    TablesCurrent = 613,
    ShutdownStep = 700,
    SettingsReloaded = 710,
    SettingsRejected = 711,
};

/** Entry of the event catalogue. The name appears in the log. */
struct EventDescription
{
    EventId id;
    Severity severity;
    std::string_view name;
};

/** @return all events, ordered by number. */
std::span<const EventDescription> eventCatalogue();

/** @param id an event of the catalogue @return its entry. */
const EventDescription &describeEvent(EventId id);

/** A named value of an event. */
struct EventField
{
    std::string_view name;
    std::string value;
};

/** Receives events. The process writes them to its log; tests collect them. Thread-safe. */
class EventSink
{
public:
    virtual ~EventSink() = default;
    /**
     * Records an event.
     * @param fields values of the event, valid during the call only
     */
    virtual void record(EventId id, std::span<const EventField> fields) = 0;

    void record(EventId id, std::initializer_list<EventField> fields)
    {
        record(id, std::span<const EventField>(fields.begin(), fields.size()));
    }
};

} // namespace Sapphireladder
