#include "serve_until_signal.h"
#include "target_server.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>

#include <memory>

ABSL_FLAG(std::string, listen, "127.0.0.1:9101", "address of the first target");
ABSL_FLAG(std::uint16_t, count, 1, "number of targets, on consecutive ports");
ABSL_FLAG(std::uint32_t, slots, 4, "maximum number of concurrent requests at one target");
ABSL_FLAG(std::uint32_t, connections, 25, "maximum number of connections to one target");
ABSL_FLAG(std::uint32_t, cold_searches, 0,
          "number of searches that a target answers before it is warm");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(2), "median service time");
ABSL_FLAG(double, service_sigma, 0.2, "shape parameter of the log-normal service time");
ABSL_FLAG(double, straggler_fraction, 0, "fraction of requests that are slow");
ABSL_FLAG(double, straggler_factor, 10, "factor by which a slow request takes longer");
ABSL_FLAG(absl::Duration, network_delay, absl::ZeroDuration(),
          "network delay to add in each direction");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the service times");

int main(int argc, char **argv)
{
    using namespace mustardcourse;

    acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    standins::captureStopSignals();
    const system_clock clock;
    wire::event_loop loop;
    standins::target_behaviour behaviour;
    behaviour.slots = absl::GetFlag(FLAGS_slots);
    behaviour.coldSearches = absl::GetFlag(FLAGS_cold_searches);
    behaviour.serviceTime = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_service_time));
    behaviour.serviceSigma = absl::GetFlag(FLAGS_service_sigma);
    behaviour.stragglerFraction = absl::GetFlag(FLAGS_straggler_fraction);
    behaviour.stragglerFactor = absl::GetFlag(FLAGS_straggler_factor);
    behaviour.networkDelay = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_network_delay));

    const endpoint first = endpoint::parse(absl::GetFlag(FLAGS_listen));
    std::vector<std::unique_ptr<standins::target_server>> targets;
    for (std::uint16_t index = 0; index < absl::GetFlag(FLAGS_count); ++index) {
        const endpoint address(first.address(), static_cast<std::uint16_t>(first.port() + index));
        targets.push_back(std::make_unique<standins::target_server>(
            loop, clock, address, behaviour, absl::GetFlag(FLAGS_connections),
            absl::GetFlag(FLAGS_seed) + index));
    }
    standins::serveUntilSignal(loop);
    return 0;
}
