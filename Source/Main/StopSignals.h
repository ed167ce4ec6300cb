#pragma once

namespace Sapphireladder {

/**
 * Blocks SIGTERM and SIGINT in this thread and the threads it starts, and ignores SIGPIPE, so that
 * writing to a connection that the peer has closed does not end the process.
 */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT. Both must be blocked in all threads. */
void waitForStopSignal();

} // namespace Sapphireladder
