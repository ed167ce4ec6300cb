#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/** Writes events to the log as "E210 preset-switch-accepted key=value ...". */
class EventLog final : public EventSink
{
public:
    using EventSink::record;
    void record(EventId id, std::span<const EventField> fields) override;

    /** Directs the log to standard error, since VMs have no disk. */
    static void initialize(const char *program);
};

} // namespace Sapphireladder
