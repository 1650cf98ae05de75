#include "serve_until_signal.h"
#include "store_server.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:8001", "address to serve on");

int main(int argc, char **argv)
{
    using namespace mustardcourse;

    acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    standins::captureStopSignals();
    const system_clock clock;
    wire::event_loop loop;
    const standins::store_server store(loop, clock, endpoint::parse(absl::GetFlag(FLAGS_listen)));
    standins::serveUntilSignal(loop);
    return 0;
}
