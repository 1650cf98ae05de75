#pragma once

namespace mustardcourse {

/**
    Replaces dashes in the names of command-line flags by underscores, so that --check-settings
    is accepted for --check_settings.

    Call it before the flags are parsed. It modifies the arguments in place and stops at "--".
*/
void acceptDashesInFlags(int argc, char **argv);

} // namespace mustardcourse
