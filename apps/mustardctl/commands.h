#pragma once

#include <mustardcourse/core/errors.h>

#include <string>
#include <vector>

namespace mustardcourse::control {

/** Exit codes of the command-line tool. */
enum exit_code {
    ExitOk = 0,
    /** The host could not be reached or its response was invalid. */
    ExitFailed = 1,
    ExitUsage = 2,
    /** The request was rejected, for example because of invalid settings. */
    ExitRefused = 3,
    /** The settings have changed since the expected revision. */
    ExitConflict = 4,
    /** The request did not run and can be retried. */
    ExitNotRun = 5,
    /** It is unknown whether the request or change took effect. */
    ExitUnknown = 6,
    /** The lookup result does not cover every shard. */
    ExitPartial = 7,
};

/** Invalid command-line arguments. */
class usage_error : public error
{
public:
    using error::error;
};

/** The host could not be reached or its response was invalid. */
class host_error : public error
{
public:
    using error::error;
};

/** Returns the output of the help command. */
std::string usageText();

/** Runs the command in the arguments and returns its exit code. @throws error */
int runCommand(const std::vector<std::string> &arguments);

} // namespace mustardcourse::control
