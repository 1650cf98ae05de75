#include "commands.h"

#include <mustardcourse/core/command_line.h>
#include <mustardcourse/core/errors.h>
#include <mustardcourse/settings/ini_document.h>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <fmt/format.h>

#include <cstdio>

int main(int argc, char **argv)
{
    using namespace mustardcourse;

    absl::FlagsUsageConfig help;
    help.contains_help_flags = [](absl::string_view file) {
        return absl::StrContains(file, "mustardctl/");
    };
    absl::SetFlagsUsageConfig(help);
    absl::SetProgramUsageMessage(control::usageText());
    acceptDashesInFlags(argc, argv);
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    try {
        return control::runCommand(arguments);
    } catch (const control::usage_error &failure) {
        fmt::print(stderr, "mustardctl: {}\nTry 'mustardctl help'.\n", failure.what());
        return control::ExitUsage;
    } catch (const settings::settings_error &failure) {
        fmt::print(stderr, "mustardctl: {}\n", failure.what());
        return control::ExitRefused;
    } catch (const error &failure) {
        fmt::print(stderr, "mustardctl: {}\n", failure.what());
        return control::ExitFailed;
    }
}
