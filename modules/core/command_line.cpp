#include <mustardcourse/core/command_line.h>

#include <cstring>

namespace mustardcourse {

void acceptDashesInFlags(int argc, char **argv)
{
    constexpr std::size_t prefixLength = 2;

    for (int index = 1; index < argc; ++index) {
        char *const argument = argv[index];
        if (std::strcmp(argument, "--") == 0)
            return;
        if (std::strncmp(argument, "--", prefixLength) != 0)
            continue;
        for (char *position = argument + prefixLength; *position != '\0' && *position != '=';
             ++position) {
            if (*position == '-')
                *position = '_';
        }
    }
}

} // namespace mustardcourse
