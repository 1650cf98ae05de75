#pragma once

#include <mustardcourse/wire/event_loop.h>

namespace mustardcourse::standins {

/** Captures SIGTERM and SIGINT for serveUntilSignal(). Must be called before the loop is created.
 */
void captureStopSignals();

/** Runs the loop until the process receives SIGTERM or SIGINT. */
void serveUntilSignal(wire::event_loop &loop);

} // namespace mustardcourse::standins
