#include "host_list_server.h"
#include "serve_until_signal.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:8002", "address to serve on");
ABSL_FLAG(absl::Duration, lag, absl::Seconds(2), "time until a change of the list is visible");
ABSL_FLAG(std::string, hosts, R"({"hosts":[]})", "initial list, as JSON");

int main(int argc, char **argv)
{
    using namespace mustardcourse;

    acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    standins::captureStopSignals();
    const system_clock clock;
    wire::event_loop loop;
    standins::host_list_server list(loop, clock, endpoint::parse(absl::GetFlag(FLAGS_listen)),
                                    absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_lag)));
    list.publish(absl::GetFlag(FLAGS_hosts));
    standins::serveUntilSignal(loop);
    return 0;
}
