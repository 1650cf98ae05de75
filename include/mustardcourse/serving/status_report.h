#pragma once

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/target_directory.h>

#include <string>

namespace mustardcourse::serving {

/** The state of a host as reported to operators. */
struct host_state
{
    host_id host;
    bool isReady = false;
    configuration_pointer activeConfiguration;
    /** When the configuration became active on this host. */
    time_point configurationActiveSince;
    const target_directory &directory;
    /** Hosts listed now, and the number of hosts among which shared limits are divided. */
    std::size_t listedMemberCount = 0;
    std::size_t estimatedMemberCount = 0;
};

/** Returns the state as JSON text: the configuration with its age, routes, members, evacuations,
   and for each target its state and the reason why it is avoided, if any. */
std::string describeState(const host_state &state, const clock &clock);

} // namespace mustardcourse::serving
