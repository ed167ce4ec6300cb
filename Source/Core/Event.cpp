#include "Core/Core.h"

#include <algorithm>
#include <cassert>

namespace Sapphireladder {

namespace {

constexpr EventDescription catalogue[] = {
        {EventId::ProcessStarted, Severity::Info, "process-started"},
        {EventId::ProcessReady, Severity::Info, "process-ready"},
        {EventId::ProcessNotReady, Severity::Warning, "process-not-ready"},
        {EventId::ProcessStopped, Severity::Info, "process-stopped"},
        {EventId::PresetApplied, Severity::Info, "preset-applied"},
        {EventId::PresetOlderIgnored, Severity::Warning, "preset-older-ignored"},
        {EventId::PresetDigestMismatch, Severity::Error, "preset-digest-mismatch"},
        {EventId::PresetBodyUnavailable, Severity::Warning, "preset-body-unavailable"},
        {EventId::PresetBodyInvalid, Severity::Error, "preset-body-invalid"},
        {EventId::PresetSwitchAccepted, Severity::Info, "preset-switch-accepted"},
        {EventId::PresetSwitchConflict, Severity::Warning, "preset-switch-conflict"},
        {EventId::PresetSwitchRefused, Severity::Warning, "preset-switch-refused"},
        {EventId::PresetSwitchUnknown, Severity::Error, "preset-switch-unknown"},
        {EventId::CallerInputRefused, Severity::Info, "caller-input-refused"},
        {EventId::CallerConnectionRefused, Severity::Warning, "caller-connection-refused"},
        {EventId::RequestSent, Severity::Info, "request-sent"},
        {EventId::RequestRetried, Severity::Info, "request-retried"},
        {EventId::RequestAnswered, Severity::Info, "request-answered"},
        {EventId::RequestRefused, Severity::Warning, "request-refused"},
        {EventId::RequestUnknown, Severity::Warning, "request-unknown"},
        {EventId::RequestAbandoned, Severity::Info, "request-abandoned"},
        {EventId::RequestWaits, Severity::Info, "request-waits"},
        {EventId::RequestStalled, Severity::Info, "request-stalled"},
        {EventId::RequestHedged, Severity::Info, "request-hedged"},
        {EventId::AllowanceExceeded, Severity::Warning, "allowance-exceeded"},
        {EventId::LogLinesDropped, Severity::Warning, "log-lines-dropped"},
        {EventId::TargetEjected, Severity::Warning, "target-ejected"},
        {EventId::TargetReinstated, Severity::Info, "target-reinstated"},
        {EventId::TargetLeaving, Severity::Info, "target-leaving"},
        {EventId::TargetReturned, Severity::Info, "target-returned"},
        {EventId::EjectionSuspended, Severity::Warning, "ejection-suspended"},
        {EventId::TargetsRead, Severity::Info, "targets-read"},
        {EventId::TargetRegistered, Severity::Info, "target-registered"},
        {EventId::TargetRemoved, Severity::Info, "target-removed"},
        {EventId::TargetRecordInvalid, Severity::Warning, "target-record-invalid"},
        {EventId::TargetMisaddressed, Severity::Warning, "target-misaddressed"},
        {EventId::TargetPaused, Severity::Info, "target-paused"},
        {EventId::ZoneEvacuated, Severity::Warning, "zone-evacuated"},
        {EventId::ZoneReturned, Severity::Info, "zone-returned"},
        {EventId::PeerLost, Severity::Warning, "peer-lost"},
        {EventId::PeerJoined, Severity::Info, "peer-joined"},
        {EventId::PeerChannelReplaced, Severity::Warning, "peer-channel-replaced"},
        {EventId::FleetCounted, Severity::Info, "fleet-counted"},
        {EventId::RelayLinkFailed, Severity::Warning, "relay-link-failed"},
        {EventId::RelayRoleChanged, Severity::Info, "relay-role-changed"},
        {EventId::AllowanceCollectorsChanged, Severity::Info, "allowance-collectors-changed"},
        {EventId::StoreUnavailable, Severity::Warning, "store-unavailable"},
        {EventId::StoreRecovered, Severity::Info, "store-recovered"},
        {EventId::VmListUnavailable, Severity::Warning, "vm-list-unavailable"},
        {EventId::StoreReturned, Severity::Warning, "store-returned"},
        {EventId::DependencyLost, Severity::Warning, "dependency-lost"},
        {EventId::DependencyRegained, Severity::Info, "dependency-regained"},
        {EventId::TablesOutdated, Severity::Warning, "tables-outdated"},
        {EventId::TablesCurrent, Severity::Info, "tables-current"},
        {EventId::ShutdownStep, Severity::Info, "shutdown-step"},
        {EventId::SettingsReloaded, Severity::Info, "settings-reloaded"},
        {EventId::SettingsRejected, Severity::Warning, "settings-rejected"},
};

} // namespace

std::span<const EventDescription> eventCatalogue()
{
    return catalogue;
}

const EventDescription &describeEvent(EventId id)
{
    const auto *it = std::find_if(std::begin(catalogue), std::end(catalogue),
                                  [id](const auto &row) { return row.id == id; });
    assert(it != std::end(catalogue));
    return *it;
}

} // namespace Sapphireladder
