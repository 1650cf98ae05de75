#include <mustardcourse/core/command_line.h>
#include <mustardcourse/core/errors.h>
#include <mustardcourse/daemon/daemon.h>

#include <platform_host.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <kj/async-unix.h>

#include <csignal>
#include <cstdio>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "", "path of the host's settings file");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace {

using namespace mustardcourse;

/** Exit codes of the daemon. */
enum exit_code { ExitOk = 0, ExitFailed = 1, ExitUsage = 2, ExitSettings = 3, ExitNotDrained = 4 };

int serve(const settings::host_settings &host)
{
    const system_clock clock;
    const logger log(clock, host.host.value(), host.logLevel);
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    wire::event_loop loop;
    daemon::daemon daemon(loop, clock, log, host);
    auto terminated = loop.io().unixEventPort.onSignal(SIGTERM).ignoreResult();
    auto interrupted = loop.io().unixEventPort.onSignal(SIGINT).ignoreResult();
    loop.run(terminated.exclusiveJoin(kj::mv(interrupted)));
    const bool isDrained = loop.run(daemon.stop());
    return isDrained ? ExitOk : ExitNotDrained;
}

int serveOnPlatform(const settings::serving_settings &host, const std::string &file)
{
    const system_clock clock;
    const logger log(clock, host.host.value(), host.logLevel);
    net::loop loop;
    platform_adapter::platform_host platformHost(loop, clock, log, host, file);
    loop.run();
    return ExitOk;
}

int run()
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        fmt::print(stderr, "mustardd: --settings is required\n");
        return ExitUsage;
    }
    try {
        const auto document = settings::ini_document::load(file);
        if (settings::serving_settings::isFormatOf(document)) {
            const auto host = settings::serving_settings::read(document);
            if (!absl::GetFlag(FLAGS_check_settings))
                return serveOnPlatform(host, file);
            fmt::print("{}: accepted\n", file);
            return ExitOk;
        }
        const auto host = settings::host_settings::read(document);
        if (absl::GetFlag(FLAGS_check_settings)) {
            fmt::print("{}: accepted\n", file);
            return ExitOk;
        }
        return serve(host);
    } catch (const settings::settings_error &failure) {
        fmt::print(stderr, "mustardd: {}\n", failure.what());
        return ExitSettings;
    } catch (const error &failure) {
        fmt::print(stderr, "mustardd: {}\n", failure.what());
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("One host of the mustardcourse query tier.\n"
                                 "  mustardd --settings=FILE [--check-settings]");
    mustardcourse::acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    mustardcourse::logger::makeNonBlocking(STDOUT_FILENO);
    return run();
}
