#pragma once

#include <mustardcourse/core/strong_value.h>

namespace mustardcourse {

/** Share of a processor core; 1 stands for a whole core. */
using core_share = strong_value<struct core_share_tag, double>;

} // namespace mustardcourse
