#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace mustardcourse::tests {

/** Returns the highest number of events, given in order, within any window of this length. */
inline std::size_t mostWithin(duration window, const std::vector<time_point> &events)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < events.size(); ++last) {
        while (events[last] - events[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace mustardcourse::tests
