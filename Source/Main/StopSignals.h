#pragma once

namespace Sapphireladder {

/**
 * Blocks SIGTERM and SIGINT in this thread and those that it starts, and ignores SIGPIPE: a peer
 * that closes early must not end the process.
 */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT. Both must be blocked in all threads. */
void waitForStopSignal();

} // namespace Sapphireladder
