#pragma once

#include <mustardcourse/core/strong_value.h>

#include <cstdint>
#include <string>

namespace mustardcourse {

/** Name of a host of the tier, unique in the deployment. */
using host_id = strong_value<struct host_id_tag, std::string>;

/** Name of a data centre. */
using data_centre_id = strong_value<struct data_centre_id_tag, std::string>;

/** Name of a team that owns one subtree of settings. */
using team_id = strong_value<struct team_id_tag, std::string>;

/** Name of a search service. */
using service_id = strong_value<struct service_id_tag, std::string>;

/** Name of one instance of a target, as it registers itself. */
using instance_id = strong_value<struct instance_id_tag, std::string>;

/** Identifier that a caller gives to one request; a retry repeats it. */
using request_id = strong_value<struct request_id_tag, std::string>;

/** Position of a shard in a shard map, from zero. */
using shard_index = strong_value<struct shard_index_tag, std::uint32_t>;

/** Version of a register's index; a greater one is newer. Zero stands for none. */
using index_version = strong_value<struct index_version_tag, std::uint64_t>;

/** Revision of a value in the store; it grows with each write to its key. Zero stands for none. */
using revision = strong_value<struct revision_tag, std::uint64_t>;

/** Number that a process takes anew at each start, to tell its lives apart. */
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

} // namespace mustardcourse
