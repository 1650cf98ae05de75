#pragma once

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/target_directory.h>

#include <string>

namespace mustardcourse::serving {

/** What a host believes, for operators. */
struct host_state
{
    host_id host;
    bool isReady = false;
    configuration_pointer activeConfiguration;
    /** When the configuration came into force here. */
    time_point configurationActiveSince;
    const target_directory &directory;
    /** Hosts that are listed now, and the number by which shared limits are divided. */
    std::size_t listedMemberCount = 0;
    std::size_t estimatedMemberCount = 0;
};

/** Returns the state as JSON text: configuration with its age, routes, members, evacuations, and
   for each target its state and why it would be avoided. */
std::string describeState(const host_state &state, const clock &clock);

} // namespace mustardcourse::serving
