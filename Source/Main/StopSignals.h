#pragma once

namespace Sapphireladder {

/**
 * Blocks SIGTERM and SIGINT in this thread and the threads it starts, and ignores SIGPIPE, so that
 * writing to a connection that the peer has closed does not end the process. Ignores SIGHUP, since
 * the end of the terminal or the shell that started a VM's process is no reason to stop.
 */
void blockStopSignals();

/** Holds SIGHUP back in this thread, so that it does not end the process before it is handled. */
void deferHangUp();
/** Delivers a SIGHUP that was held back. */
void deliverHangUp();

/** Waits for SIGTERM or SIGINT. Both must be blocked in all threads. */
void waitForStopSignal();

} // namespace Sapphireladder
