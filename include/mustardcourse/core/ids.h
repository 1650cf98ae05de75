#pragma once

#include <mustardcourse/core/strong_value.h>

#include <cstdint>
#include <string>

namespace mustardcourse {

/** Name of a host, unique in the deployment. */
using host_id = strong_value<struct host_id_tag, std::string>;

/** Name of a data centre. */
using data_centre_id = strong_value<struct data_centre_id_tag, std::string>;

/** Name of a team, which owns one subtree of the settings. */
using team_id = strong_value<struct team_id_tag, std::string>;

/** Name of a search service. */
using service_id = strong_value<struct service_id_tag, std::string>;

/** Name under which an instance of a target registers itself. */
using instance_id = strong_value<struct instance_id_tag, std::string>;

/** Identifier that a caller assigns to a request; retries of the request carry the same one. */
using request_id = strong_value<struct request_id_tag, std::string>;

/** Zero-based position of a shard in a shard map. */
using shard_index = strong_value<struct shard_index_tag, std::uint32_t>;

/** Version of a register's index. Greater versions are newer; zero means no version. */
using index_version = strong_value<struct index_version_tag, std::uint64_t>;

/** Revision of a value in the store, increased by each write to its key. Zero means no value. */
using revision = strong_value<struct revision_tag, std::uint64_t>;

/** Number that a process chooses at each start, which distinguishes it from earlier runs. */
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

} // namespace mustardcourse
