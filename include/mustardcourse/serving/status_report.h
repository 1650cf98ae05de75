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
    configuration_pointer inForce;
    /** When the configuration came into force here. */
    time_point inForceSince;
    const target_directory &directory;
    /** Hosts that are listed now, and the number by which shared limits are divided. */
    std::size_t listedMembers = 0;
    std::size_t countedMembers = 0;
};

/** Returns the state as JSON text: configuration with its age, routes, members, evacuations, and
   for each target its state and why it would be avoided. */
std::string describeState(const host_state &state, const clock &clock);

} // namespace mustardcourse::serving
