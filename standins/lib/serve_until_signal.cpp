#include "serve_until_signal.h"

#include <kj/async-unix.h>

#include <csignal>

namespace mustardcourse::standins {

void captureStopSignals()
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
}

void serveUntilSignal(wire::event_loop &loop)
{
    auto terminateSignal = loop.io().unixEventPort.onSignal(SIGTERM).ignoreResult();
    auto interruptSignal = loop.io().unixEventPort.onSignal(SIGINT).ignoreResult();
    loop.run(terminateSignal.exclusiveJoin(kj::mv(interruptSignal)));
}

} // namespace mustardcourse::standins
